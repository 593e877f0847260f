package fleet

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

// backInUse returns when an upstream that is silent until silence has passed is used
// again, if requests arrive at an interval and each connection takes dialTimeout to fail.
func backInUse(n int, silence time.Duration) time.Duration {
	const dialTimeout, interval = 200 * time.Millisecond, 10 * time.Millisecond
	f := newFleet("vm", n)
	failing := make(map[time.Duration][]*Pick)
	for now := time.Duration(0); ; now += interval {
		for _, p := range failing[now] {
			f.Done(at(now), p, OutcomeUnreachable)
		}
		q := query()
		q.FirstAttempt = false // only upstreams that don't count as unreachable
		for range n {
			p, _ := f.Pick(at(now), q)
			if p == nil {
				continue
			}
			if now >= silence {
				return now
			}
			failing[now+dialTimeout] = append(failing[now+dialTimeout], p)
			q.Exclude = append(q.Exclude, p.ID)
		}
	}
}

// Guards against an upstream, or a zone, that counts as unreachable for seconds after a
// silence of about one, because many connections to it failed at the same time.
func TestSilentUpstreamStaysUnreachableForSeconds(t *testing.T) {
	for silence := 500 * time.Millisecond; silence <= 1800*time.Millisecond; silence += 50 * time.Millisecond {
		for _, n := range []int{1, 9} {
			assert.LessOrEqual(t, backInUse(n, silence)-silence, time.Second, "%d upstreams, silence %s", n, silence)
		}
	}
}

// Guards against a log that an upstream with a load report of another form fills.
func TestBadLoadIsNewOncePerStart(t *testing.T) {
	f := newFleet("vm", 3)
	p := mustPick(t, f, begin, query())
	assert.True(t, f.RecordBadLoad(p))
	assert.False(t, f.RecordBadLoad(p))
	u := p.Upstream
	u.Incarnation++
	upsert(f, begin, u)
	assert.False(t, f.RecordBadLoad(p), "an answer of the earlier start")
	assert.True(t, f.RecordBadLoad(&Pick{Upstream: u}))
}
