package claims

import (
	"container/heap"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/cranberrypier/cranberrypier/internal/membership"
	"github.com/cranberrypier/cranberrypier/internal/platform"
	"github.com/cranberrypier/cranberrypier/internal/result"
)

// world runs several cores against a model store, a model upstream and callers
// that resend, in virtual time. Everything follows from the seed.
type world struct {
	rng    *rand.Rand
	now    time.Time
	events eventHeap
	seq    int
	steps  int
	vms    []*simVM
	store  map[string]platform.Object
	rev    platform.Version
	cut    map[[2]int]bool
	faults bool
	calm   bool // for measurements: no refusals by upstreams
	down   bool
	slow   bool
	breaks mutation
	limits Limits
	keys   []*simKey
	keyOf  map[Digest]*simKey
	writes int
	reads  int
	delays []time.Duration // from arrival to start
	bytes  int
	faulty []string // violations found
	seen   map[string]int
}

// mutation switches one mechanism off, to show that the checks notice.
type mutation struct {
	blindWrite    bool // the store ignores the version
	trustLost     bool // a lost answer counts as success
	trustSilence  bool // a claimer that does not answer counts as abandoned
	sameIncarn    bool // a restarted process keeps its incarnation
	clockJournal  bool // journals are named by the VM's clock
	releaseAlways bool // a claimer asked about a run says that it gave up
	forgetTickets bool // a ticket's VM forgets claims under it
	forgetStarted bool // numbers with unrecorded outcomes are not remembered
}

type simVM struct {
	index  int
	name   string
	incarn uint64
	core   *Core
	skew   time.Duration
	frozen bool
	inbox  []func()
	tickAt time.Time
	life   int // counts restarts; events of earlier lives are dropped
	waits  map[ArrivalID]*simArrival
	next   ArrivalID
	calls  uint64
	puts   map[uint64]func(PutAnswer)
	joins  map[uint64]func(JoinAnswer)
}

type simKey struct {
	key        Key
	digest     Digest
	executions int
	by         *simVM
	life       int
	body       string
	foreign    bool // the work that ran is of another fingerprint
	recorded   bool // the run ended while its process lived
	arrivals   int
	open       int
	notRun     int
	doubted    bool // some arrival was not answered not_run
	answers    map[string]bool
}

type simArrival struct {
	key     *simKey
	vm      *simVM
	started bool
	foreign bool // carries another fingerprint
	notRun  bool
	at      time.Time
	final   bool
	done    bool
}

type event struct {
	at  time.Time
	seq int
	f   func()
}

type eventHeap []event

func (h eventHeap) Len() int { return len(h) }
func (h eventHeap) Less(i, j int) bool {
	return h[i].at.Before(h[j].at) || h[i].at.Equal(h[j].at) && h[i].seq < h[j].seq
}
func (h eventHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }
func (h *eventHeap) Push(x any)   { *h = append(*h, x.(event)) }
func (h *eventHeap) Pop() any {
	old := *h
	e := old[len(old)-1]
	*h = old[:len(old)-1]
	return e
}

var simSecret = []byte("secret of the model")

func newWorld(seed uint64, vms int, m mutation) *world {
	w := &world{
		rng: rand.New(rand.NewPCG(seed, 7)), now: time.UnixMilli(1_800_000_000_000),
		store: map[string]platform.Object{}, cut: map[[2]int]bool{}, keyOf: map[Digest]*simKey{},
		seen: map[string]int{}, breaks: m, faults: true,
	}
	skew := -30 * time.Minute // one clock is wrong by more than the window
	if seed%4 == 0 {
		// Keys expire within an outage, but not at the VM that is behind.
		w.limits, skew = Limits{Window: 3 * time.Second, MaxAhead: time.Hour}, -time.Minute
	}
	for i := range vms {
		v := &simVM{index: i, name: fmt.Sprintf("vm%d", i), skew: time.Duration(w.rng.IntN(4000)-2000) * time.Millisecond}
		if i == vms-1 {
			v.skew = skew
		}
		w.vms = append(w.vms, v)
		w.boot(v)
	}
	return w
}

func (w *world) boot(v *simVM) {
	v.life++
	if v.incarn == 0 || !w.breaks.sameIncarn {
		v.incarn = uint64(v.life)
	}
	v.core = NewCore(v.name, v.incarn, simSecret, w.limits)
	v.frozen, v.inbox, v.tickAt = false, nil, time.Time{}
	for _, id := range slices.Sorted(maps.Keys(v.waits)) {
		w.lost(v.waits[id])
	}
	v.waits = map[ArrivalID]*simArrival{}
	v.puts = map[uint64]func(PutAnswer){}
	v.joins = map[uint64]func(JoinAnswer){}
	w.view(v)
}

func (w *world) after(d time.Duration, f func()) {
	w.seq++
	heap.Push(&w.events, event{at: w.now.Add(d), seq: w.seq, f: f})
}

// on delivers f to the present life of v, later if it is frozen.
func (w *world) on(v *simVM, d time.Duration, f func()) { w.onLife(v, v.life, d, f) }

// onLife is on for an answer that belongs to the life that asked.
func (w *world) onLife(v *simVM, life int, d time.Duration, f func()) {
	w.after(d, func() {
		if v.life != life {
			return
		}
		if v.frozen {
			v.inbox = append(v.inbox, f)
			return
		}
		f()
	})
}

func (w *world) ms(lo, hi int) time.Duration {
	return time.Duration(lo*1000+w.rng.IntN((hi-lo)*1000+1)) * time.Microsecond
}

func (w *world) chance(p float64) bool { return w.faults && w.rng.Float64() < p }

// view gives v a list of members that may be wrong while faults are on.
func (w *world) view(v *simVM) {
	var ms []membership.Member
	for _, x := range w.vms {
		st := membership.Alive
		if w.chance(0.3) {
			st = membership.Dead
		}
		ms = append(ms, membership.Member{VM: x.name, Router: x.name, Status: st, RouterUp: true})
	}
	w.step(v, SetView{View: membership.View{Members: ms}})
}

func (w *world) step(v *simVM, m Message) {
	w.steps++
	if w.breaks.forgetTickets && w.rng.IntN(20) == 0 {
		v.core.tickets.journal = newJournal(objectRoom)
	}
	if w.breaks.forgetStarted {
		clear(v.core.unrecorded)
	}
	for _, a := range v.core.Step(w.now.Add(v.skew), m) {
		w.act(v, a)
	}
	next := v.core.NextTick()
	if next.IsZero() {
		return
	}
	at := next.Add(-v.skew)
	if at.Before(w.now) {
		at = w.now
	}
	if v.tickAt.After(w.now) && !at.Before(v.tickAt) {
		return
	}
	v.tickAt = at
	w.on(v, at.Sub(w.now)+time.Millisecond, func() { w.step(v, Tick{}) })
}

func (w *world) act(v *simVM, a Action) {
	switch a := a.(type) {
	case ReadJournal:
		w.reads++
		w.readOp(v, a)
	case WriteJournal:
		w.writes++
		w.bytes += len(a.Value)
		w.writeOp(v, a)
	case SendPut:
		w.sendPut(v, a)
	case SendJoin:
		w.sendJoin(v, a)
	case ReplyPut:
		v.puts[a.Call](a.Body)
		delete(v.puts, a.Call)
	case ReplyJoin:
		v.joins[a.Call](a.Body)
		delete(v.joins, a.Call)
	case Start:
		arr := v.waits[a.Arrival]
		w.delays = append(w.delays, w.now.Sub(arr.at))
		w.on(v, w.ms(0, 1), func() { w.dispatch(v, a, arr) })
	case Answer:
		arr := v.waits[a.Arrival]
		delete(v.waits, a.Arrival)
		w.answered(arr, a)
	case RecordEvent:
		w.seen[a.Name]++
	}
}

func (w *world) readOp(v *simVM, a ReadJournal) {
	life := v.life
	if w.down && w.faults {
		err := result.New(result.PlatformUnavailable, "down")
		w.on(v, w.ms(1, 20), func() { w.step(v, StoreRead{Op: a.Op, Journal: a.Journal, Err: err}) })
		return
	}
	w.after(w.ms(0, 3), func() {
		o := w.store[a.Journal.Name()]
		w.onLife(v, life, w.ms(0, 3), func() { w.step(v, StoreRead{Op: a.Op, Journal: a.Journal, Object: o}) })
	})
}

// writeOp applies a write some time after it was sent. The answer may be lost,
// or the caller's timeout may come before the write is applied.
func (w *world) writeOp(v *simVM, a WriteJournal) {
	life := v.life
	answer := func(d time.Duration, ver platform.Version, err error) {
		w.onLife(v, life, d, func() { w.step(v, StoreWritten{Op: a.Op, Journal: a.Journal, Version: ver, Err: err}) })
	}
	if w.down && w.faults {
		answer(w.ms(1, 20), 0, result.New(result.PlatformUnavailable, "down"))
		return
	}
	travel := w.ms(0, 4)
	lost := w.chance(0.1)
	if w.slow && w.faults {
		travel = w.ms(100, 4000)
		lost = lost || travel > time.Second
	}
	if lost {
		e := error(result.New(result.PlatformUnsure, "lost"))
		if w.breaks.trustLost {
			e = nil
		}
		answer(min(travel+time.Millisecond, time.Second), w.rev+1, e)
	}
	if w.chance(0.05) && lost {
		return // it never arrived
	}
	w.after(travel, func() {
		ver, err := w.apply(a)
		if !lost {
			answer(w.ms(0, 3), ver, err)
		}
	})
}

func (w *world) apply(a WriteJournal) (platform.Version, error) {
	name := a.Journal.Name()
	if w.store[name].Version != a.BaseVersion && !w.breaks.blindWrite {
		return 0, result.New(result.PlatformConflict, "conflict")
	}
	w.rev++
	w.store[name] = platform.Object{Name: name, Version: w.rev, Value: a.Value}
	return w.rev, nil
}

func (w *world) peer(addr string) *simVM {
	for _, v := range w.vms {
		if v.name == addr {
			return v
		}
	}
	return nil
}

func (w *world) isCut(a, b *simVM) bool {
	return w.faults && (w.cut[[2]int{a.index, b.index}] || w.cut[[2]int{b.index, a.index}])
}

func (w *world) sendPut(v *simVM, a SendPut) {
	life := v.life
	p := w.peer(a.Addr)
	done := false
	end := func(d time.Duration, m PutDone) {
		w.onLife(v, life, d, func() {
			if !done {
				done = true
				w.step(v, m)
			}
		})
	}
	end(700*time.Millisecond, PutDone{Call: a.Call, Failed: true})
	if w.isCut(v, p) {
		return
	}
	copies := 1
	if w.chance(0.05) {
		copies = 2
	}
	for range copies {
		travel := w.ms(0, 3)
		if w.chance(0.05) {
			travel = w.ms(300, 5000)
		}
		w.on(p, travel, func() {
			p.calls++
			p.puts[p.calls] = func(ans PutAnswer) {
				if !w.chance(0.05) {
					end(w.ms(0, 3), PutDone{Call: a.Call, Body: ans})
				}
			}
			w.step(p, PeerPut{Call: p.calls, Body: a.Body})
		})
	}
}

func (w *world) sendJoin(v *simVM, a SendJoin) {
	life := v.life
	p := w.peer(a.Addr)
	done := false
	end := func(d time.Duration, m JoinDone) {
		w.onLife(v, life, d, func() {
			if !done {
				done = true
				if m.Failed && w.breaks.trustSilence {
					m = JoinDone{Call: a.Call, Body: JoinAnswer{Status: StatusAbandoned}}
				}
				w.step(v, m)
			}
		})
	}
	end(max(a.Deadline.Add(-v.skew).Sub(w.now), 0), JoinDone{Call: a.Call, Failed: true})
	if w.isCut(v, p) || w.chance(0.05) {
		end(w.ms(1, 100), JoinDone{Call: a.Call, Failed: true})
		return
	}
	w.on(p, w.ms(0, 3), func() {
		if w.breaks.releaseAlways {
			end(w.ms(0, 3), JoinDone{Call: a.Call, Body: JoinAnswer{Status: StatusAbandoned}})
			return
		}
		p.calls++
		p.joins[p.calls] = func(ans JoinAnswer) { end(w.ms(0, 3), JoinDone{Call: a.Call, Body: ans}) }
		w.step(p, PeerJoin{Call: p.calls, Body: a.Body})
	})
}

// dispatch is the runner: the deadline check, then the request to the upstream.
func (w *world) dispatch(v *simVM, a Start, arr *simArrival) {
	finish := func(d time.Duration, o Outcome) {
		w.on(v, d, func() { w.step(v, RunEnded{Digest: a.Digest, Number: a.Number, Outcome: o}) })
	}
	if !w.now.Add(v.skew).Before(a.Deadline) {
		finish(0, Outcome{Run: result.NotRun, Code: result.DeadlineExceeded})
		return
	}
	if !w.calm && w.rng.Float64() < 0.1 {
		finish(w.ms(0, 5), Outcome{Run: result.NotRun, Code: result.NoUpstream})
		return
	}
	k := w.keyOf[a.Digest]
	k.executions++
	k.by, k.life = v, v.life
	k.body = fmt.Sprintf("%s run by %s/%d/%d", a.Digest, v.name, v.incarn, a.Number)
	w.check(k.executions <= 1, "at_most_once: key %s ran %d times, last by %s", a.Digest, k.executions, v.name)
	w.check(!arr.notRun, "not_run_true: an arrival answered not_run was run")
	arr.started = true
	k.foreign = arr.foreign
	o := Outcome{Run: result.Ran, Status: 200, Body: []byte(k.body)}
	if w.chance(0.05) {
		o = Outcome{Run: result.Unknown, Code: result.AnswerCut}
	}
	took := w.ms(5, 400)
	if w.chance(0.03) { // the upstream answers late
		took = w.ms(5000, 40000)
	}
	if w.chance(0.01) { // never, until the call's timeout
		took, o = 60*time.Second, Outcome{Run: result.Unknown, Code: result.DeadlineExceeded}
	}
	w.on(v, took, func() {
		k.recorded = o.Run == result.Ran
		w.step(v, RunEnded{Digest: a.Digest, Number: a.Number, Outcome: o})
	})
}

func (w *world) check(ok bool, format string, args ...any) {
	if !ok {
		w.faulty = append(w.faulty, fmt.Sprintf(format, args...))
	}
}
