package fleet

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/assert"
)

// Guards against VMs that spread a trial's requests over more upstreams than its share
// of them, or over different ones.
func TestShareOfAVersionsUpstreams(t *testing.T) {
	for _, tt := range []struct {
		share float64
		want  int
	}{{0.07, 1}, {0.34, 4}, {1, 9}, {0, 9}} {
		chosen := make(map[string]bool)
		for vm := range 4 {
			f := newFleet(fmt.Sprint("vm-", vm), 9)
			q := query()
			q.VersionShare = tt.share
			for range 40 {
				chosen[mustPick(t, f, begin, q).ID] = true
			}
		}
		assert.Len(t, chosen, tt.want, "share %v", tt.share)
	}
}

// Guards against requests of a trial that wait for an unreachable upstream while others
// of its version are reachable.
func TestUnreachableUpstreamOfTheShareIsNotTried(t *testing.T) {
	f := newFleet("vm-1", 9)
	q := query()
	q.VersionShare = 0.07
	p := mustPick(t, f, begin, q)
	f.Done(begin, p, OutcomeUnreachable)
	_, reason := f.Pick(begin, q)
	assert.Equal(t, NoneReachable, reason)
	q.VersionShare = 0
	assert.NotEqual(t, p.ID, mustPick(t, f, begin, q).ID)
}
