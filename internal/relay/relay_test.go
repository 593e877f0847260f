package relay

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

var begin = time.Unix(1_000_000, 0)

const propagationLimit = 3 * time.Second

func vmName(i int) string { return fmt.Sprintf("vm-%02d", i) }

func vmNames(n int) []string {
	var out []string
	for i := range n {
		out = append(out, vmName(i))
	}
	return out
}

func newTestCore(vm string) *Core {
	return New(Config{VM: vm, PropagationLimit: propagationLimit, StartedAt: begin})
}

// Guards against VMs that read the store needlessly, which is billed, or that do
// not read it although their copy is stale. The staleness limits of the VMs are
// between 1500 ms and 2250 ms: 50 % to 75 % of the propagation limit.
func TestWhoReads(t *testing.T) {
	later := begin.Add(time.Minute)
	onlyReadersWatch := func(d Decision) bool { return d.SharesReads && d.Watches == (d.Rank < readersPerZone(1)) }
	for name, c := range map[string]struct {
		zone      int
		staleness time.Duration
		change    func(*Config, *View)
		now       time.Time
		want      func(Decision) bool
	}{
		"a VM that has just started asks its peers":  {10, 0, notLoaded, begin.Add(minListDelay - 1), func(d Decision) bool { return !d.Lists && !d.Watches && d.Reason == AsksPeers }},
		"it lists if they do not answer":             {10, 0, notLoaded, begin.Add(minListDelay + maxExtraListDelay), func(d Decision) bool { return d.Lists }},
		"a VM that hears of no peer lists soon":      {1, 0, notLoaded, begin.Add(noPeersListDelay), func(d Decision) bool { return d.Lists }},
		"but not at once":                            {1, 0, notLoaded, begin.Add(noPeersListDelay - 1), func(d Decision) bool { return !d.Lists && d.Reason == AsksPeers }},
		"a seed that has just started lists":         {10, 0, func(c *Config, v *View) { c.Seed, v.Loaded = true, false }, begin, func(d Decision) bool { return d.Lists && !d.Watches && d.Reason == Starting }},
		"a standalone VM reads at once":              {1, 0, func(c *Config, v *View) { c.Standalone, v.Loaded = true, false }, begin, func(d Decision) bool { return d.Lists && d.Watches }},
		"a VM without live peers reads":              {1, 0, nil, begin.Add(listOnlyPeriod), func(d Decision) bool { return d.Watches && d.Reason == FewVMs }},
		"all VMs of a small zone read":               {minVMsToShare - 1, time.Second, nil, later, func(d Decision) bool { return d.Watches && d.Reason == FewVMs && !d.SharesReads }},
		"only readers read while the copy is fresh":  {10, time.Second, nil, later, onlyReadersWatch},
		"all VMs read above the largest limit":       {10, 2251 * time.Millisecond, nil, later, func(d Decision) bool { return d.Lists && d.Watches }},
		"only readers read below the smallest limit": {10, 1499 * time.Millisecond, nil, later, onlyReadersWatch},
		"a few standbys read above the smallest":     {40, 1501 * time.Millisecond, nil, later, func(d Decision) bool { return d.Watches == (d.Rank < readersPerZone(1)+firstStandbys) }},
		"a few standbys read for a late configuration": {40, time.Second, late(601 * time.Millisecond), later, func(d Decision) bool {
			return d.Watches == (d.Rank < readersPerZone(1)+firstStandbys) && (d.Rank < readersPerZone(1) || !d.Watches || d.Reason == Late)
		}},
		"all VMs read if it is later":             {40, time.Second, late(901 * time.Millisecond), later, func(d Decision) bool { return d.Watches }},
		"one reader for each of many zones":       {10, time.Second, func(_ *Config, v *View) { v.Zones = 7 }, later, func(d Decision) bool { return d.Watches == (d.Rank == 0) }},
		"no one lists again what peers have sent": {10, time.Second, nil, later, func(d Decision) bool { return d.Lists == d.Watches }},
		"a VM that lacks a kind lists it at last": {10, time.Second, notLoaded, later, func(d Decision) bool { return d.Lists }},
	} {
		t.Run(name, func(t *testing.T) {
			for i := range c.zone {
				config := Config{VM: vmName(i), PropagationLimit: propagationLimit, StartedAt: begin}
				view := viewOf(vmNames(c.zone), 1)
				if c.change != nil {
					c.change(&config, &view)
				}
				k := New(config)
				k.Confirm(c.now.Add(-c.staleness))
				d := k.Decide(c.now, view)
				assert.True(t, c.want(d), "%s: %+v", vmName(i), d)
			}
		})
	}
}

// late returns a change by which a VM has known of a newer configuration for so long.
func late(d time.Duration) func(*Config, *View) {
	return func(_ *Config, v *View) { v.Late = d }
}

func notLoaded(_ *Config, v *View) { v.Loaded = false }

func viewOf(zone []string, zones int) View { return View{Zone: zone, Zones: zones, Loaded: true} }

// While a few VMs of the zone try to read the store without success, the others do
// not join them, unless it lasts.
func TestOutageIsProbedByFew(t *testing.T) {
	zone := vmNames(60)
	later := begin.Add(time.Minute)
	readingAfter := func(outage time.Duration, trouble bool) int {
		n := 0
		for _, vm := range zone {
			c := newTestCore(vm)
			c.Confirm(later.Add(-outage))
			if trouble {
				c.Trouble(later.Add(-troubleTTL / 2))
			}
			n += btoi(c.Decide(later, viewOf(zone, 1)).Watches)
		}
		return n
	}
	assert.Equal(t, len(zone), readingAfter(2251*time.Millisecond, false))
	few := readersPerZone(1) + firstStandbys
	assert.Equal(t, few, readingAfter(3*time.Second, true))
	assert.LessOrEqual(t, readingAfter(10*time.Second, true), 2*len(zone)/3)
	assert.Equal(t, len(zone), readingAfter(time.Minute, true))
}

func TestStalenessBeforeTheFirstConfirmation(t *testing.T) {
	assert.Equal(t, 3*time.Second, newTestCore("a").Decide(begin.Add(3*time.Second), viewOf(vmNames(10), 1)).Staleness)
}

func TestExactlyThreeReadersOfAZone(t *testing.T) {
	zone := vmNames(20)
	readers := 0
	for _, vm := range zone {
		c := newTestCore(vm)
		c.Confirm(begin)
		if c.Decide(begin.Add(listOnlyPeriod), viewOf(zone, 1)).Watches {
			readers++
		}
	}
	assert.Equal(t, maxReadersPerZone, readers)
}

func TestStaleVMReadsForTheWholeWindow(t *testing.T) {
	zone := vmNames(20)
	var vm string
	for _, v := range zone {
		if rank(v, zone) >= readersPerZone(1) {
			vm = v
		}
	}
	c := newTestCore(vm)
	c.Confirm(begin)
	stale := begin.Add(2300 * time.Millisecond)
	assert.Equal(t, Stale, c.Decide(stale, viewOf(zone, 1)).Reason)
	c.Confirm(stale)
	almostOver := stale.Add(directReadWindow - time.Millisecond)
	c.Confirm(almostOver)
	assert.Equal(t, RecentlyStale, c.Decide(almostOver, viewOf(zone, 1)).Reason)
	c.Confirm(stale.Add(directReadWindow))
	assert.Equal(t, Relayed, c.Decide(stale.Add(directReadWindow), viewOf(zone, 1)).Reason)
}

func TestNewerDigestDoesNotConfirm(t *testing.T) {
	for name, c := range map[string]struct {
		remote, local []uint64
		behind        bool
	}{
		"equal":                               {[]uint64{1, 2}, []uint64{1, 2}, false},
		"the local copy is newer":             {[]uint64{1, 2}, []uint64{1, 3}, false},
		"the local copy is older":             {[]uint64{1, 2}, []uint64{1, 1}, true},
		"newer in one kind, older in another": {[]uint64{5, 2}, []uint64{1, 9}, true},
		"a kind that is unknown locally":      {[]uint64{1, 2, 3}, []uint64{1, 2}, false},
	} {
		t.Run(name, func(t *testing.T) {
			k := newTestCore("a")
			behind := k.Receive(begin.Add(time.Second), &Digest{AgeMS: 400, Revisions: c.remote}, Copy{Revisions: c.local})
			assert.Equal(t, c.behind, behind)
			if c.behind {
				assert.Nil(t, k.Digest(begin.Add(time.Second), Copy{Revisions: c.local}))
				return
			}
			assert.Equal(t, int64(500), k.Digest(begin.Add(1100*time.Millisecond), Copy{Revisions: c.local}).AgeMS)
		})
	}
}

// world simulates a fleet. Datagrams spread digests. VMs that read receive the
// store's changes at once, unless they are frozen or their watch is stalled.
type world struct {
	rng       *rand.Rand
	now       time.Time
	revision  uint64
	changedAt time.Time
	vms       []*simulatedVM
	// crossZoneFetches counts fetches from another zone by VMs that are not readers.
	crossZoneFetches int
	// noFallback stops stale VMs from reading the store, to verify that the
	// simulation then detects the fault.
	noFallback bool
}

type simulatedVM struct {
	name        string
	zone        int
	mayFetch    func(sameZone bool) bool // before the first decision, any VM may fetch like a reader
	isReader    bool
	core        *Core
	revision    uint64
	watching    bool
	watchEndsAt time.Time // when the VM's current watch returns without a change
	frozen      bool      // the VM does nothing
	stalled     bool      // the watch receives nothing, but the VM still sends digests
}

const (
	step         = 50 * time.Millisecond
	maxWatchWait = 3200 * time.Millisecond
)

func newWorld(seed uint64, n int) *world {
	w := &world{rng: rand.New(rand.NewPCG(seed, 1)), now: begin, revision: 1}
	for i := range n {
		v := &simulatedVM{name: vmName(i), zone: i % 2, core: newTestCore(vmName(i)), revision: 1, mayFetch: Decision{fetchesAcrossZones: true}.FetchesFromPeer}
		v.core.Confirm(begin)
		w.vms = append(w.vms, v)
	}
	return w
}

func (w *world) tick() {
	w.now = w.now.Add(step)
	var zones [2][]string
	for _, v := range w.vms {
		zones[v.zone] = append(zones[v.zone], v.name)
	}
	for _, v := range w.vms {
		if v.frozen {
			continue
		}
		d := v.core.Decide(w.now, viewOf(zones[v.zone], len(zones)))
		if w.noFallback {
			d.Watches = d.Rank < readersPerZone(len(zones))
		}
		if d.Watches && !v.watching {
			v.watchEndsAt = w.now.Add(300 * time.Millisecond)
		}
		v.watching, v.isReader, v.mayFetch = d.Watches, d.Rank < crossZoneFetchers, d.FetchesFromPeer
		w.read(v)
		w.gossip(v)
	}
}

func (w *world) read(v *simulatedVM) {
	if !v.watching || v.stalled {
		return
	}
	if v.revision < w.revision || !w.now.Before(v.watchEndsAt) {
		v.revision = w.revision
		v.core.Confirm(w.now)
		v.watchEndsAt = w.now.Add(time.Duration((0.3 + 0.7*w.rng.Float64()) * float64(maxWatchWait)))
	}
}

// gossip sends a datagram to three VMs. A receiver that is behind and may fetch
// from the sender does so at once.
func (w *world) gossip(v *simulatedVM) {
	digest := v.core.Digest(w.now, Copy{Revisions: []uint64{v.revision}})
	for range 3 {
		to := w.vms[w.rng.IntN(len(w.vms))]
		if to == v || to.frozen || w.rng.Float64() < 0.1 {
			continue
		}
		if to.core.Receive(w.now, digest, Copy{Revisions: []uint64{to.revision}}) && to.mayFetch(to.zone == v.zone) {
			to.revision = v.revision
			w.crossZoneFetches += btoi(to.zone != v.zone && !to.isReader)
		}
	}
}

// simulate runs a minute with changes, frozen readers and stalled watches. It
// returns the longest time for which a VM that is neither frozen nor stalled
// lacked a change, and the number of cross-zone fetches by VMs that are not
// readers.
func simulate(seed uint64, noFallback bool) (time.Duration, int) {
	w := newWorld(seed, 24)
	w.noFallback = noFallback
	var maxLag time.Duration
	for range int(time.Minute / step) {
		if w.rng.IntN(60) == 0 {
			w.failReaders()
		}
		if w.rng.IntN(40) == 0 && w.lag() == 0 {
			w.revision++
			w.changedAt = w.now
		}
		w.tick()
		maxLag = max(maxLag, w.lag())
	}
	return maxLag, w.crossZoneFetches
}

func btoi(b bool) int {
	if b {
		return 1
	}
	return 0
}

func (w *world) failReaders() {
	for _, v := range w.vms {
		v.frozen, v.stalled = false, false
	}
	// The worst case: all VMs that currently watch, in both zones at once.
	for _, v := range w.vms {
		if v.watching {
			v.frozen = w.rng.IntN(2) == 0
			v.stalled = !v.frozen
		}
	}
}

// lag returns how long a VM that is neither frozen nor stalled has lacked the
// newest change.
func (w *world) lag() time.Duration {
	for _, v := range w.vms {
		if !v.frozen && !v.stalled && v.revision < w.revision {
			return w.now.Sub(w.changedAt)
		}
	}
	return 0
}

// Guards against late changes: when all readers freeze or stall, the other VMs
// still apply a change within the propagation limit.
func TestChangesArriveWhenReadersFail(t *testing.T) {
	for seed := range uint64(60) {
		lag, crossZoneFetches := simulate(seed, false)
		assert.Less(t, lag, propagationLimit, "seed %d", seed)
		assert.Zero(t, crossZoneFetches, "seed %d: traffic between zones grows with the number of VMs", seed)
	}
}

// Verifies that the simulation detects late changes when stale VMs do not read
// the store.
func TestSimulationDetectsLateChanges(t *testing.T) {
	var maxLag time.Duration
	for seed := range uint64(20) {
		lag, _ := simulate(seed, true)
		maxLag = max(maxLag, lag)
	}
	assert.Greater(t, maxLag, propagationLimit)
}

// A VM that still lives in an earlier era of the store must neither confirm a copy
// of a later one nor pass for newer, and must notice that it is behind.
func TestDigestsOfOtherEras(t *testing.T) {
	later := Copy{Era: 2, Revisions: []uint64{1}}
	earlier := Copy{Era: 1, Revisions: []uint64{90}}
	digestOf := func(c Copy) *Digest { return &Digest{AgeMS: 100, Revisions: c.Revisions, Era: c.Era} }
	k := newTestCore("a")
	assert.False(t, k.Receive(begin.Add(time.Second), digestOf(earlier), later))
	assert.Nil(t, k.Digest(begin.Add(time.Second), later), "not confirmed")
	assert.True(t, k.Receive(begin.Add(time.Second), digestOf(later), earlier))
	assert.False(t, k.Receive(begin.Add(time.Second), digestOf(later), later))
	assert.Equal(t, uint64(2), k.Digest(begin.Add(time.Second), later).Era)
}
