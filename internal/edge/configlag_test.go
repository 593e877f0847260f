package edge

import (
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"github.com/cranberrypier/cranberrypier/internal/catalog"
	"github.com/cranberrypier/cranberrypier/internal/vm"
)

func TestConfigLagCountsFromTheFirstNewerVersion(t *testing.T) {
	var l configLag
	now := time.Unix(1_000_000, 0)
	at := func(s int) time.Time { return now.Add(time.Duration(s) * time.Second) }
	assert.Zero(t, l.apply(now, 4))
	l.announce(at(1), 4)
	assert.Zero(t, l.behindFor(at(2)), "the version in force")
	l.announce(at(2), 6)
	l.announce(at(3), 8)
	l.announce(at(4), 6)
	assert.Equal(t, 3*time.Second, l.behindFor(at(5)))
	assert.Equal(t, 4*time.Second, l.apply(at(6), 6))
	assert.Equal(t, 5*time.Second, l.behindFor(at(7)), "version 8 is still missing")
	l.apply(at(8), 8)
	assert.Zero(t, l.behindFor(at(9)))
}

// Guards against VMs that read the store for good because a version was announced that is
// lost.
func TestConfigLagForgetsALostVersion(t *testing.T) {
	var l configLag
	now := time.Unix(1_000_000, 0)
	l.apply(now, 11)
	l.announce(now, 20)
	now = now.Add(maxAnnouncementAge)
	assert.Equal(t, maxAnnouncementAge, l.behindFor(now))
	now = now.Add(time.Second)
	assert.Zero(t, l.behindFor(now))
	l.announce(now, 12)
	assert.Equal(t, time.Second, l.behindFor(now.Add(time.Second)), "a version that exists")
	l.apply(now, 12)
	assert.Zero(t, l.behindFor(now.Add(time.Second)))
}

// Guards against an older configuration that replaces a newer one because both arrive at the
// same time, from the store and from another VM.
func TestOlderConfigurationDoesNotReplaceANewerOne(t *testing.T) {
	for round := range 2000 {
		f := New(Options{Settings: &vm.Settings{Name: "vm-1"}, Documents: versionDocuments{}, Metrics: NewMetrics()}).follower
		var wait sync.WaitGroup
		for version := range 4 {
			wait.Go(func() {
				f.applyConfig(catalog.Object{Name: "main", Revision: uint64(version + 1), Spec: fmt.Appendf(nil, `{"version":%d}`, version+1)})
			})
		}
		wait.Wait()
		if !assert.Equal(t, uint64(4), f.proxy.configVersion(), "round %d", round) {
			return
		}
	}
}
