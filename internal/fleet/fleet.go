// Package fleet keeps the inventory of upstreams: the listed entries, the load
// that each reports, and the outcomes of this VM's requests. From these it picks
// the upstream for each attempt. It does no I/O and reads no clock; callers pass
// the time in.
//
// Prefill is the processing of a prompt before its first token is generated. An
// upstream is cold for some time after its start and then tolerates only few
// requests per second.
package fleet

import (
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Upstream is one start of an upstream process, as the platform lists it.
type Upstream struct {
	ID      string
	Service string
	Address string
	Zone    string
	// Version is the version of its software; roll-outs change it.
	Version string
	Slots   int
	Leaving bool
	// Incarnation distinguishes the starts of a process with the same ID; zero if
	// unknown. It increases with each start.
	Incarnation int64
	// Sequence increases with each entry that an incarnation writes; zero if unknown.
	Sequence int64
	// Era is the era of the platform's store in which the entry was read.
	Era uint64
	// ColdUntil is the end of the cold start; zero if the upstream is warm.
	ColdUntil time.Time
}

// Config identifies this VM and sets the limits for cold upstreams.
type Config struct {
	VM   string
	Zone string
	// RegionByZone maps each availability zone to its region.
	RegionByZone map[string]string
	// ColdFactor and ColdSlack limit the requests per second that all VMs together
	// send to a cold upstream: ColdFactor times its tolerated rate, plus ColdSlack.
	ColdFactor float64
	ColdSlack  float64
}

// removalGracePeriod is how long removed entries are still used after the
// platform's object store has recovered. Entries can expire while the store is
// unavailable, and the platform restores those of live upstreams in about 2 s.
const removalGracePeriod = 2200 * time.Millisecond

// Fleet is the inventory of upstreams. It is safe for concurrent use.
type Fleet struct {
	cfg Config

	mu         sync.Mutex
	members    map[string]*member
	pools      map[string]*servicePool // by service
	withdrawn  map[string]bool
	zoneHealth map[string]*zoneHealth
	vms        []string
	// vmsGeneration counts the changes of vms.
	vmsGeneration int
	vmReports     map[string]*vmReport // by VM
	// nextReportExpiry is when a report may be too old next; zero if there is none.
	nextReportExpiry time.Time
	// drawnBuf, reachableBuf and unreachableBuf are buffers reused by choose.
	drawnBuf, reachableBuf, unreachableBuf []*member
	locality                               localityChoice // reused by choose
	rng                                    *rand.Rand
	coldRates                              map[string]float64
	prefillTimes                           prefillTimes // by model
	// graceUntil is the end of the period in which removals are delayed.
	graceUntil time.Time
	departures departures
	wishes     map[string]wishes          // by upstream
	brittle    map[string]*brittleService // by service
	// knowsBrittle is whether brittle is not empty. It is read without the lock.
	knowsBrittle atomic.Bool
	// limited is the number of upstreams that name a limit. It is read without the lock.
	limited atomic.Int64
	// firstListed is when the first list of upstreams arrived.
	firstListed time.Time
}

// New returns an empty fleet.
func New(cfg Config) *Fleet {
	return &Fleet{
		cfg: cfg, members: make(map[string]*member), pools: make(map[string]*servicePool),
		rng:       rand.New(rand.NewPCG(xxhash.Sum64String(cfg.VM), 0)), //nolint:gosec // draws upstreams
		withdrawn: make(map[string]bool), zoneHealth: make(map[string]*zoneHealth), vmReports: make(map[string]*vmReport), coldRates: make(map[string]float64), prefillTimes: make(prefillTimes),
		departures: newDepartures(), wishes: make(map[string]wishes), brittle: make(map[string]*brittleService),
	}
}

// SetColdRates sets, by service, the requests per second that a cold upstream
// tolerates. Services whose upstreams have no cold start have no rate, or zero.
func (f *Fleet) SetColdRates(coldRates map[string]float64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.coldRates = coldRates
}

// SetVMs sets the entry VMs that share the fleet-wide limits.
func (f *Fleet) SetVMs(names []string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if !slices.Equal(f.vms, names) {
		f.vms = slices.Clone(names)
		f.vmsGeneration++
	}
}

// SetWithdrawn sets the availability zones that operators have withdrawn.
func (f *Fleet) SetWithdrawn(zones []string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.withdrawn = make(map[string]bool, len(zones))
	for _, z := range zones {
		f.withdrawn[z] = true
	}
}

// StoreRecovered delays removals for a short time, because entries of live
// upstreams may have expired while the store was unavailable.
func (f *Fleet) StoreRecovered(now time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.graceUntil = now.Add(removalGracePeriod)
}

// Replace replaces the whole inventory with the listed upstreams. After a store
// outage, missing upstreams that are not leaving are removed only once the grace
// period ends; see Expire.
func (f *Fleet) Replace(now time.Time, list []Upstream) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.firstListed.IsZero() {
		f.firstListed = now
	}
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
	f.departures.dropUnlisted(listed)
	f.rebuildIndex()
}

// Change is an added, updated or removed entry of one upstream.
type Change struct {
	Upstream Upstream
	// Removed is true if the entry was removed; only the ID is set then.
	Removed bool
}

// Apply applies a batch of changes. In a large fleet many changes arrive at
// once, and the lists by service are rebuilt only once per batch.
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
	f.rebuildIndex()
}

func (f *Fleet) upsert(now time.Time, u Upstream) {
	old := f.members[u.ID]
	if old != nil && isOlderEntry(u, old.Upstream) {
		old.removeAt = time.Time{}
		return
	}
	if f.departures.holdBack(now, u) {
		return
	}
	if f.departures.isLeaving(u.ID, u.Incarnation) {
		u.Leaving = true
	} else if u.Leaving {
		f.departures.recordLeaving(now, leavingRecord{Departure: Departure{Upstream: u.ID, Incarnation: u.Incarnation}, at: now})
	}
	if old == nil || old.Incarnation != u.Incarnation || old.Address != u.Address {
		if old != nil {
			f.keepWishes(now, old)
		}
		m := newMember(u, now)
		f.members[u.ID] = m
		f.restoreWishes(now, m)
		return
	}
	old.Upstream, old.health = u, nil
	old.removeAt = time.Time{}
}

func (f *Fleet) remove(now time.Time, id string) {
	delete(f.departures.held, id)
	m := f.members[id]
	if m == nil {
		return
	}
	if now.Before(f.graceUntil) && !m.Leaving {
		if m.removeAt.IsZero() {
			m.removeAt = f.graceUntil
		}
		return
	}
	f.drop(now, m)
}

// drop removes a member for good.
func (f *Fleet) drop(now time.Time, m *member) {
	f.departures.recordRemoved(now, m.Upstream)
	f.keepWishes(now, m)
	delete(f.members, m.ID)
}

// Expire removes the upstreams whose entries were not restored within the grace
// period, and adds those whose entries are no longer held back.
func (f *Fleet) Expire(now time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	changed := false
	for _, m := range f.members {
		if !m.removeAt.IsZero() && !now.Before(m.removeAt) {
			f.drop(now, m)
			changed = true
		}
	}
	for _, u := range f.departures.release(now) {
		f.upsert(now, u)
		changed = true
	}
	if changed {
		f.rebuildIndex()
	}
}

// rebuildIndex rebuilds the lists by service, sorted by ID.
func (f *Fleet) rebuildIndex() {
	clear(f.pools)
	for _, m := range f.members {
		p := f.pools[m.Service]
		if p == nil {
			p = newPool()
			f.pools[m.Service] = p
		}
		p.members = append(p.members, m)
	}
	for _, p := range f.pools {
		slices.SortFunc(p.members, func(a, b *member) int { return strings.Compare(a.ID, b.ID) })
		p.rankInVersions()
		p.countZones()
	}
	f.countLimited()
}

// membersOf returns the members of a service, sorted by ID.
func (f *Fleet) membersOf(service string) []*member {
	if p := f.pools[service]; p != nil {
		return p.members
	}
	return nil
}

// VMNames returns the entry VMs in the last call of SetVMs, sorted.
func (f *Fleet) VMNames() []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	return slices.Clone(f.vms)
}

// VMCount returns the number of entry VMs in the last call of SetVMs, or zero
// before the first.
func (f *Fleet) VMCount() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return len(f.vms)
}

// Has reports whether a picked upstream is still listed, and has not started again.
func (f *Fleet) Has(p *Pick) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.memberOf(p) != nil
}

// Len returns the number of upstreams.
func (f *Fleet) Len() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return len(f.members)
}

// UsableAddresses returns the addresses of a service's upstreams that may receive
// requests now; of all services if the name is empty.
func (f *Fleet) UsableAddresses(now time.Time, service string) []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	var out []string
	for _, m := range f.members {
		if (service == "" || m.Service == service) && f.usable(m) && !now.Before(m.pausedUntil) {
			out = append(out, m.Address)
		}
	}
	return out
}

// RecordReachable records that the upstream at an address accepted a connection: it and
// its zone no longer count as unreachable.
func (f *Fleet) RecordReachable(address string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, m := range f.members {
		if m.Address == address {
			m.backoff, m.backoffUntil = 0, time.Time{}
			f.zoneHealthOf(m).recordReachable()
		}
	}
}

// Versions returns the versions of a service's upstreams that are not leaving.
func (f *Fleet) Versions(service string) []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	var out []string
	for _, m := range f.membersOf(service) {
		if !m.Leaving && !slices.Contains(out, m.Version) {
			out = append(out, m.Version)
		}
	}
	return out
}
