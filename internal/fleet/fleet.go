// Package fleet knows the upstreams: which exist, what they report, how they
// have treated this VM's requests, and which one a request goes to next. It
// does no I/O and reads no clock: callers pass the time in.
package fleet

import (
	"slices"
	"sync"
	"time"
)

// Upstream is one incarnation of a replica, as the platform lists it.
type Upstream struct {
	ID      string
	Service string
	Address string
	Zone    string
	// Version is the version of its software, which roll-outs change.
	Version  string
	Slots    int
	Draining bool
	// Born tells incarnations of the same ID apart; zero when it is not known.
	Incarnation int64
	// ColdUntil is the end of its cold start; zero when it is warm.
	ColdUntil time.Time
}

// Config holds what the fleet needs to know about its VM and the bounds.
type Config struct {
	VM   string
	Zone string
	// Regions maps each availability zone to its region.
	Regions map[string]string
	// ColdFactor and ColdSlack bound the requests a second to a cold upstream
	// over all VMs: factor times its tolerated rate plus the slack.
	ColdFactor float64
	ColdSlack  float64
}

// lapseHold is how long entries that vanished with the store's absence are kept
// after its return: the platform restores those of live upstreams in about 2 s.
const lapseHold = 2200 * time.Millisecond

// Fleet is the inventory. It is safe for concurrent use; no lock is held
// around I/O.
type Fleet struct {
	cfg Config

	mu        sync.Mutex
	members   map[string]*member
	byService map[string][]*member
	withdrawn map[string]bool
	zones     map[string]*zoneReach
	vms       []string
	told      map[string][]*member // by VM: where it told of requests
	up, down  []*member            // scratch of eligible
	coldRate  map[string]float64
	pace      map[string]float64 // ms of first-token time per uncached token, by model
	// lenient is the end of the time in which removals are held back.
	lenient time.Time
}

// New returns an empty fleet.
func New(cfg Config) *Fleet {
	return &Fleet{
		cfg: cfg, members: make(map[string]*member), byService: make(map[string][]*member),
		withdrawn: make(map[string]bool), zones: make(map[string]*zoneReach), told: make(map[string][]*member), coldRate: make(map[string]float64), pace: make(map[string]float64),
	}
}

// SetServices sets the rate that cold upstreams of each service tolerate.
func (f *Fleet) SetServices(coldRate map[string]float64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.coldRate = coldRate
}

// SetVMs sets the entry VMs that share the fleet-wide bounds.
func (f *Fleet) SetVMs(names []string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.vms = slices.Clone(names)
}

// SetWithdrawn sets the availability zones that operators have taken out.
func (f *Fleet) SetWithdrawn(zones []string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.withdrawn = make(map[string]bool, len(zones))
	for _, z := range zones {
		f.withdrawn[z] = true
	}
}

// StoreReturned says that the store answers again after an absence in which
// entries may have lapsed.
func (f *Fleet) StoreRecovered(now time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.lenient = now.Add(lapseHold)
}

// Replace makes the listed upstreams the whole inventory.
func (f *Fleet) Replace(now time.Time, list []Upstream) {
	f.mu.Lock()
	defer f.mu.Unlock()
	listed := make(map[string]bool, len(list))
	for _, u := range list {
		listed[u.ID] = true
		f.upsert(now, u)
	}
	for id := range f.members {
		if !listed[id] {
			f.remove(now, id)
		}
	}
	f.index()
}

// Change is a change of one upstream's entry.
type Change struct {
	Upstream Upstream
	// Gone is true when the entry was removed; only the ID counts then.
	Removed bool
}

// Apply takes changes together: in a large fleet many come at once, and the
// lists are rebuilt only once for all of them.
func (f *Fleet) Apply(now time.Time, changes []Change) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, c := range changes {
		if c.Removed {
			f.remove(now, c.Upstream.ID)
		} else {
			f.upsert(now, c.Upstream)
		}
	}
	f.index()
}

func (f *Fleet) upsert(now time.Time, u Upstream) {
	old := f.members[u.ID]
	if old == nil || old.Incarnation != u.Incarnation || old.Address != u.Address {
		f.members[u.ID] = newMember(u, now)
		return
	}
	old.Upstream = u
	old.lapsed = time.Time{}
}

func (f *Fleet) remove(now time.Time, id string) {
	m := f.members[id]
	if m == nil {
		return
	}
	if now.Before(f.lenient) && !m.Draining {
		if m.lapsed.IsZero() {
			m.lapsed = f.lenient
		}
		return
	}
	delete(f.members, id)
}

// Expire drops the upstreams whose lapsed entries did not come back.
func (f *Fleet) Expire(now time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	changed := false
	for id, m := range f.members {
		if !m.lapsed.IsZero() && !now.Before(m.lapsed) {
			delete(f.members, id)
			changed = true
		}
	}
	if changed {
		f.index()
	}
}

// index rebuilds the lists by service, in a fixed order.
func (f *Fleet) index() {
	clear(f.byService)
	for _, m := range f.members {
		f.byService[m.Service] = append(f.byService[m.Service], m)
	}
	for _, list := range f.byService {
		slices.SortFunc(list, func(a, b *member) int {
			if a.ID < b.ID {
				return -1
			}
			return 1
		})
	}
}

// VMs counts the entry VMs that share the fleet-wide bounds, this one among them.
func (f *Fleet) VMCount() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return len(f.vms)
}

// Len counts the upstreams.
func (f *Fleet) Len() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return len(f.members)
}

// Usable lists the addresses of the upstreams that may get requests.
func (f *Fleet) UsableAddresses() []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	var out []string
	for _, m := range f.members {
		if f.usable(m) {
			out = append(out, m.Address)
		}
	}
	return out
}

// Listed reports whether an incarnation is listed.
func (f *Fleet) Listed(id string, born int64) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	m := f.members[id]
	return m != nil && m.Incarnation == born
}

// Versions lists the versions of a service's upstreams that are not leaving.
func (f *Fleet) Versions(service string) []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	var out []string
	for _, m := range f.byService[service] {
		if !m.Draining && !slices.Contains(out, m.Version) {
			out = append(out, m.Version)
		}
	}
	return out
}
