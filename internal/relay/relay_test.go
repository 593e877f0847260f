package relay

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

var begin = time.Unix(1_000_000, 0)

const bound = 3 * time.Second

func vmName(i int) string { return fmt.Sprintf("vm-%02d", i) }

func zoneOf(n int) []string {
	var out []string
	for i := range n {
		out = append(out, vmName(i))
	}
	return out
}

func core(vm string) *Core {
	return New(Config{VM: vm, PropagationLimit: bound, StartedAt: begin})
}

func TestWhoReads(t *testing.T) {
	later := begin.Add(time.Minute)
	reader := func(d Decision) bool { return d.SharesReads && d.Watches == (d.Rank < readersPerZone) }
	for name, c := range map[string]struct {
		zone   int
		proved time.Duration // ago
		alone  bool
		now    time.Time
		right  func(Decision) bool
	}{
		"a VM that has just started lists":              {10, 0, false, begin, func(d Decision) bool { return d.Lists && !d.Watches && d.Reason == Starting }},
		"without others it reads at once":               {1, 0, true, begin, func(d Decision) bool { return d.Lists && d.Watches }},
		"it heard of nobody":                            {1, 0, false, begin.Add(settleTime), func(d Decision) bool { return d.Watches && d.Reason == FewVMs }},
		"in a small zone all read":                      {sharedFrom - 1, time.Second, false, later, func(d Decision) bool { return d.Watches && d.Reason == FewVMs && !d.SharesReads }},
		"with a proof few read":                         {10, time.Second, false, later, reader},
		"a proof that is too old makes everyone read":   {10, 2101 * time.Millisecond, false, later, func(d Decision) bool { return d.Lists && d.Watches }},
		"a proof just below the least patience is good": {10, 1650 * time.Millisecond, false, later, reader},
	} {
		t.Run(name, func(t *testing.T) {
			for i := range c.zone {
				k := New(Config{VM: vmName(i), PropagationLimit: bound, StartedAt: begin, Standalone: c.alone})
				k.Confirm(c.now.Add(-c.proved))
				d := k.Decide(c.now, zoneOf(c.zone))
				assert.True(t, c.right(d), "%s: %+v", vmName(i), d)
			}
		})
	}
}

func TestAgeWithoutAProof(t *testing.T) {
	assert.Equal(t, 3*time.Second, core("a").Decide(begin.Add(3*time.Second), zoneOf(10)).Staleness)
}

func TestExactlyThreeReadersOfAZone(t *testing.T) {
	zone := zoneOf(20)
	readers := 0
	for _, vm := range zone {
		c := core(vm)
		c.Confirm(begin)
		if c.Decide(begin.Add(settleTime), zone).Watches {
			readers++
		}
	}
	assert.Equal(t, readersPerZone, readers)
}

func TestAVMWithoutProofReadsOnForAWhile(t *testing.T) {
	zone := zoneOf(20)
	var vm string
	for _, v := range zone {
		if rank(v, zone) >= readersPerZone {
			vm = v
		}
	}
	c := core(vm)
	c.Confirm(begin)
	stale := begin.Add(2200 * time.Millisecond)
	assert.Equal(t, Stale, c.Decide(stale, zone).Reason)
	c.Confirm(stale)
	shortly := stale.Add(holdTime - time.Millisecond)
	c.Confirm(shortly)
	assert.Equal(t, RecentlyStale, c.Decide(shortly, zone).Reason)
	c.Confirm(stale.Add(holdTime))
	assert.Equal(t, Relayed, c.Decide(stale.Add(holdTime), zone).Reason)
}

func TestViewsProveOnlyWhatIsKnownHere(t *testing.T) {
	for name, c := range map[string]struct {
		theirs, mine []uint64
		behind       bool
	}{
		"equal":                   {[]uint64{1, 2}, []uint64{1, 2}, false},
		"more is known here":      {[]uint64{1, 2}, []uint64{1, 3}, false},
		"less is known here":      {[]uint64{1, 2}, []uint64{1, 1}, true},
		"more of one, less":       {[]uint64{5, 2}, []uint64{1, 9}, true},
		"a kind that we have not": {[]uint64{1, 2, 3}, []uint64{1, 2}, false},
	} {
		t.Run(name, func(t *testing.T) {
			k := core("a")
			behind := k.Receive(begin.Add(time.Second), &Digest{AgeMS: 400, Revisions: c.theirs}, c.mine)
			assert.Equal(t, c.behind, behind)
			if c.behind {
				assert.Nil(t, k.Digest(begin.Add(time.Second), c.mine))
				return
			}
			assert.Equal(t, int64(500), k.Digest(begin.Add(1100*time.Millisecond), c.mine).AgeMS)
		})
	}
}

// world is a fleet in which datagrams spread views and VMs that read see the
// store's changes at once, unless they are frozen or the store is silent to them.
type world struct {
	rng      *rand.Rand
	now      time.Time
	revision uint64
	changed  time.Time
	vms      []*node
	// crossed counts the VMs that took changes from another zone and are no readers.
	crossed int
	// off turns the VMs' own reading after an old proof off, for the check of the test.
	off bool
}

type node struct {
	name   string
	zone   int
	asks   func(sameZone bool) bool
	reader bool
	core   *Core
	known  uint64
	reads  bool
	next   time.Time // of the reader's next answer without a change
	frozen bool
	blind  bool // the store says nothing to it, and it does not notice for a while
}

const (
	step      = 50 * time.Millisecond
	quickWait = 3200 * time.Millisecond
)

func newWorld(seed uint64, n int) *world {
	w := &world{rng: rand.New(rand.NewPCG(seed, 1)), now: begin, revision: 1}
	for i := range n {
		v := &node{name: vmName(i), zone: i % 2, core: core(vmName(i)), known: 1, asks: Decision{}.FetchesFromPeer}
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
		d := v.core.Decide(w.now, zones[v.zone])
		if w.off {
			d.Watches = d.Rank < readersPerZone
		}
		if d.Watches && !v.reads {
			v.next = w.now.Add(300 * time.Millisecond)
		}
		v.reads, v.reader, v.asks = d.Watches, d.Rank < readersPerZone, d.FetchesFromPeer
		w.read(v)
		w.tell(v)
	}
}

func (w *world) read(v *node) {
	if !v.reads || v.blind {
		return
	}
	if v.known < w.revision || !w.now.Before(v.next) {
		v.known = w.revision
		v.core.Confirm(w.now)
		v.next = w.now.Add(time.Duration((0.3 + 0.7*w.rng.Float64()) * float64(quickWait)))
	}
}

// tell sends a datagram to three VMs; one that is behind and may ask does so at once.
func (w *world) tell(v *node) {
	view := v.core.Digest(w.now, []uint64{v.known})
	for range 3 {
		to := w.vms[w.rng.IntN(len(w.vms))]
		if to == v || to.frozen || w.rng.Float64() < 0.1 {
			continue
		}
		if to.core.Receive(w.now, view, []uint64{to.known}) && to.asks(to.zone == v.zone) {
			to.known = v.known
			w.crossed += btoi(to.zone != v.zone && !to.reader)
		}
	}
}

// run plays a minute in which changes come and readers freeze or go blind. It
// returns the longest time that a calm VM lacked a change, and how many VMs took
// changes from another zone and are no readers of theirs.
func run(seed uint64, off bool) (time.Duration, int) {
	w := newWorld(seed, 24)
	w.off = off
	var longest time.Duration
	for range int(time.Minute / step) {
		if w.rng.IntN(60) == 0 {
			w.disturb()
		}
		if w.rng.IntN(40) == 0 && w.late() == 0 {
			w.revision++
			w.changed = w.now
		}
		w.tick()
		longest = max(longest, w.late())
	}
	return longest, w.crossed
}

func btoi(b bool) int {
	if b {
		return 1
	}
	return 0
}

func (w *world) disturb() {
	for _, v := range w.vms {
		v.frozen, v.blind = false, false
	}
	// The worst case: all readers of both zones at once.
	for _, v := range w.vms {
		if v.reads {
			v.frozen = w.rng.IntN(2) == 0
			v.blind = !v.frozen
		}
	}
}

// late is how long a VM that is neither frozen nor blind has lacked the newest change.
func (w *world) late() time.Duration {
	for _, v := range w.vms {
		if !v.frozen && !v.blind && v.known < w.revision {
			return w.now.Sub(w.changed)
		}
	}
	return 0
}

// Whatever happens to the readers, a change is in force in time elsewhere.
func TestChangesArriveWhenReadersFail(t *testing.T) {
	for seed := range uint64(60) {
		late, crossed := run(seed, false)
		assert.Less(t, late, bound, "seed %d", seed)
		assert.Zero(t, crossed, "seed %d: bytes between zones grow with the VMs", seed)
	}
}

// The check finds the fault when VMs do not read by themselves.
func TestCheckFindsLateChanges(t *testing.T) {
	var longest time.Duration
	for seed := range uint64(20) {
		late, _ := run(seed, true)
		longest = max(longest, late)
	}
	assert.Greater(t, longest, bound)
}
