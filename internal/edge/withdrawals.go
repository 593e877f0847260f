package edge

import (
	"sync"
	"time"

	"k8s.io/klog/v2"

	"github.com/cranberrypier/cranberrypier/internal/catalog"
)

// rewriteTimeout is how long after the store came back from an older copy the
// operators' latest instructions are assumed to stand although the store lacks
// them. Operators write them again in this time.
const rewriteTimeout = 10 * time.Second

// withdrawnZones holds the zones that operators have taken out of service.
type withdrawnZones struct {
	mu sync.Mutex
	// until holds, by zone, when the withdrawal ends without a further instruction;
	// zero while the store lists it.
	until map[string]time.Time
}

func newWithdrawnZones() withdrawnZones { return withdrawnZones{until: make(map[string]time.Time)} }

// replaceWithdrawals applies a complete list of withdrawals. In the first list of a
// new era, missing withdrawals stay in force until rewriteTimeout has passed.
func (f *Follower) replaceWithdrawals(list []catalog.Object, newEra bool) {
	listed := make(map[string]bool, len(list))
	for _, o := range list {
		if !o.Deleting {
			listed[o.Name] = true
		}
	}
	now := time.Now()
	f.withdrawn.mu.Lock()
	for zone, until := range f.withdrawn.until {
		switch {
		case listed[zone]:
		case newEra && until.IsZero():
			f.withdrawn.until[zone] = now.Add(rewriteTimeout)
			klog.InfoS("fleet: withdrawn zone stays withdrawn, because the store came back from an older copy", "zone", zone, "for", rewriteTimeout)
		case until.IsZero():
			delete(f.withdrawn.until, zone)
		}
	}
	for zone := range listed {
		f.withdrawn.until[zone] = time.Time{}
	}
	f.withdrawn.mu.Unlock()
	f.applyWithdrawnZones()
}

func (f *Follower) withdrawZone(o catalog.Object) {
	f.withdrawn.mu.Lock()
	f.withdrawn.until[o.Name] = time.Time{}
	f.withdrawn.mu.Unlock()
	f.applyWithdrawnZones()
}

func (f *Follower) restoreZone(o catalog.Object) {
	f.withdrawn.mu.Lock()
	delete(f.withdrawn.until, o.Name)
	f.withdrawn.mu.Unlock()
	f.applyWithdrawnZones()
}

// expireWithdrawals ends the withdrawals that operators did not write again in time.
func (f *Follower) expireWithdrawals(now time.Time) {
	expired := false
	f.withdrawn.mu.Lock()
	for zone, until := range f.withdrawn.until {
		if !until.IsZero() && now.After(until) {
			delete(f.withdrawn.until, zone)
			expired = true
		}
	}
	f.withdrawn.mu.Unlock()
	if expired {
		f.applyWithdrawnZones()
	}
}

func (f *Follower) applyWithdrawnZones() {
	f.withdrawn.mu.Lock()
	zones := make([]string, 0, len(f.withdrawn.until))
	for z := range f.withdrawn.until {
		zones = append(zones, z)
	}
	f.proxy.fleet.SetWithdrawn(zones)
	f.withdrawn.mu.Unlock()
	klog.InfoS("fleet: list of withdrawn zones applied", "zones", zones)
}
