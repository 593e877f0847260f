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

// world simulates several cores, a store, an upstream and callers that retry, in
// virtual time. The seed determines the whole schedule.
type world struct {
	rng          *rand.Rand
	now          time.Time
	events       eventHeap
	seq          int
	steps        int
	vms          []*simVM
	store        map[string]platform.Object
	rev          platform.Version
	partitioned  map[[2]int]bool
	faults       bool
	noRefusals   bool // for measurements: upstreams reject no work
	storeDown    bool
	storeSlow    bool
	mutation     mutation
	limits       Limits
	keys         []*simKey
	keyByDigest  map[Digest]*simKey
	writes       int
	reads        int
	startDelays  []time.Duration // from arrival to start
	writtenBytes int
	violations   []string
	eventCounts  map[string]int
}

// mutation disables one mechanism, to show that the checks detect it.
type mutation struct {
	blindWrite         bool // the store ignores the version
	lostAnswerSucceeds bool // a lost answer counts as success
	timeoutAbandons    bool // a claimer that does not answer counts as abandoned
	reuseIncarnation   bool // a restarted process keeps its incarnation
	localClockJournal  bool // journals are named by the VM's clock
	alwaysAbandoned    bool // a claimer reports each of its runs as abandoned
	dropTicketClaims   bool // a ticket's VM loses the claims under it
	dropUnrecorded     bool // numbers with unrecorded outcomes are not kept
}

type simVM struct {
	index       int
	name        string
	incarnation uint64
	core        *Core
	clockSkew   time.Duration
	frozen      bool
	inbox       []func()
	tickAt      time.Time
	boot        int // number of starts; events of earlier boots are dropped
	pending     map[ArrivalID]*simArrival
	lastArrival ArrivalID
	lastCall    uint64
	puts        map[uint64]func(PutAnswer)
	joins       map[uint64]func(JoinAnswer)
}

type simKey struct {
	key              Key
	digest           Digest
	executions       int
	ranOn            *simVM
	ranInBoot        int
	body             string
	otherFingerprint bool // the work that ran had another fingerprint
	runEnded         bool // the run ended before its process stopped
	arrivals         int
	open             int
	notRun           int
	maybeRan         bool // some arrival was not answered not_run
	answers          map[string]bool
}

type simArrival struct {
	key              *simKey
	vm               *simVM
	started          bool
	otherFingerprint bool // carries another fingerprint
	notRun           bool
	at               time.Time
	final            bool
	done             bool
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
		store: map[string]platform.Object{}, partitioned: map[[2]int]bool{}, keyByDigest: map[Digest]*simKey{},
		eventCounts: map[string]int{}, mutation: m, faults: true,
	}
	clockSkew := -30 * time.Minute // one clock is wrong by more than the window
	if seed%4 == 0 {
		// Keys expire during an outage, except at the VM whose clock is slow.
		w.limits, clockSkew = Limits{MaxKeyAge: 3 * time.Second, MaxKeyAhead: time.Hour}, -time.Minute
	}
	for i := range vms {
		v := &simVM{index: i, name: fmt.Sprintf("vm%d", i), clockSkew: time.Duration(w.rng.IntN(4000)-2000) * time.Millisecond}
		if i == vms-1 {
			v.clockSkew = clockSkew
		}
		w.vms = append(w.vms, v)
		w.boot(v)
	}
	return w
}

func (w *world) boot(v *simVM) {
	v.boot++
	if v.incarnation == 0 || !w.mutation.reuseIncarnation {
		v.incarnation = uint64(v.boot)
	}
	v.core = NewCore(v.name, v.incarnation, simSecret, w.limits)
	v.frozen, v.inbox, v.tickAt = false, nil, time.Time{}
	for _, id := range slices.Sorted(maps.Keys(v.pending)) {
		w.arrivalLost(v.pending[id])
	}
	v.pending = map[ArrivalID]*simArrival{}
	v.puts = map[uint64]func(PutAnswer){}
	v.joins = map[uint64]func(JoinAnswer){}
	w.sendView(v)
}

func (w *world) after(d time.Duration, f func()) {
	w.seq++
	heap.Push(&w.events, event{at: w.now.Add(d), seq: w.seq, f: f})
}

// deliver runs f after d in the current boot of v. If v is frozen then, f runs
// when v resumes.
func (w *world) deliver(v *simVM, d time.Duration, f func()) { w.deliverToBoot(v, v.boot, d, f) }

// deliverToBoot is like deliver, but drops f if v has restarted since boot.
func (w *world) deliverToBoot(v *simVM, boot int, d time.Duration, f func()) {
	w.after(d, func() {
		if v.boot != boot {
			return
		}
		if v.frozen {
			v.inbox = append(v.inbox, f)
			return
		}
		f()
	})
}

func (w *world) randomDelay(lo, hi int) time.Duration {
	return time.Duration(lo*1000+w.rng.IntN((hi-lo)*1000+1)) * time.Microsecond
}

func (w *world) chance(p float64) bool { return w.faults && w.rng.Float64() < p }

// sendView sends v a membership view that may be wrong while faults are on.
func (w *world) sendView(v *simVM) {
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
	if w.mutation.dropTicketClaims && w.rng.IntN(20) == 0 {
		v.core.tickets.journal = newJournal(objectLimits)
	}
	if w.mutation.dropUnrecorded {
		clear(v.core.unrecorded)
	}
	for _, a := range v.core.Step(w.now.Add(v.clockSkew), m) {
		w.act(v, a)
	}
	next := v.core.NextTick()
	if next.IsZero() {
		return
	}
	at := next.Add(-v.clockSkew)
	if at.Before(w.now) {
		at = w.now
	}
	if v.tickAt.After(w.now) && !at.Before(v.tickAt) {
		return
	}
	v.tickAt = at
	w.deliver(v, at.Sub(w.now)+time.Millisecond, func() { w.step(v, Tick{}) })
}

func (w *world) act(v *simVM, a Action) {
	switch a := a.(type) {
	case ReadJournal:
		w.reads++
		w.readJournal(v, a)
	case WriteJournal:
		w.writes++
		w.writtenBytes += len(a.Value)
		w.writeJournal(v, a)
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
		arr := v.pending[a.Arrival]
		w.startDelays = append(w.startDelays, w.now.Sub(arr.at))
		w.deliver(v, w.randomDelay(0, 1), func() { w.runWork(v, a, arr) })
	case Answer:
		arr := v.pending[a.Arrival]
		delete(v.pending, a.Arrival)
		w.checkAnswer(arr, a)
	case RecordEvent:
		w.eventCounts[a.Name]++
	}
}

func (w *world) readJournal(v *simVM, a ReadJournal) {
	boot := v.boot
	if w.storeDown && w.faults {
		err := result.New(result.PlatformUnavailable, "down")
		w.deliver(v, w.randomDelay(1, 20), func() { w.step(v, StoreRead{Op: a.Op, Journal: a.Journal, Err: err}) })
		return
	}
	w.after(w.randomDelay(0, 3), func() {
		o := w.store[a.Journal.Name()]
		w.deliverToBoot(v, boot, w.randomDelay(0, 3), func() { w.step(v, StoreRead{Op: a.Op, Journal: a.Journal, Object: o}) })
	})
}

// writeJournal applies a write some time after it was sent. The answer may be
// lost, or the caller may time out before the write is applied.
func (w *world) writeJournal(v *simVM, a WriteJournal) {
	boot := v.boot
	answer := func(d time.Duration, ver platform.Version, err error) {
		w.deliverToBoot(v, boot, d, func() { w.step(v, StoreWritten{Op: a.Op, Journal: a.Journal, Version: ver, Err: err}) })
	}
	if w.storeDown && w.faults {
		answer(w.randomDelay(1, 20), 0, result.New(result.PlatformUnavailable, "down"))
		return
	}
	latency := w.randomDelay(0, 4)
	lost := w.chance(0.1)
	if w.storeSlow && w.faults {
		latency = w.randomDelay(100, 4000)
		lost = lost || latency > time.Second
	}
	if lost {
		e := error(result.New(result.PlatformWriteUnknown, "lost"))
		if w.mutation.lostAnswerSucceeds {
			e = nil
		}
		answer(min(latency+time.Millisecond, time.Second), w.rev+1, e)
	}
	if w.chance(0.05) && lost {
		return // the write is lost too
	}
	w.after(latency, func() {
		ver, err := w.apply(a)
		if !lost {
			answer(w.randomDelay(0, 3), ver, err)
		}
	})
}

func (w *world) apply(a WriteJournal) (platform.Version, error) {
	name := a.Journal.Name()
	if w.store[name].Version != a.BaseVersion && !w.mutation.blindWrite {
		return 0, result.New(result.PlatformConflict, "conflict")
	}
	w.rev++
	w.store[name] = platform.Object{Name: name, Version: w.rev, Value: a.Value}
	return w.rev, nil
}

func (w *world) vmByAddr(addr string) *simVM {
	for _, v := range w.vms {
		if v.name == addr {
			return v
		}
	}
	return nil
}

func (w *world) isPartitioned(a, b *simVM) bool {
	return w.faults && (w.partitioned[[2]int{a.index, b.index}] || w.partitioned[[2]int{b.index, a.index}])
}

func (w *world) sendPut(v *simVM, a SendPut) {
	boot := v.boot
	p := w.vmByAddr(a.Addr)
	done := false
	end := func(d time.Duration, m PutDone) {
		w.deliverToBoot(v, boot, d, func() {
			if !done {
				done = true
				w.step(v, m)
			}
		})
	}
	end(700*time.Millisecond, PutDone{Call: a.Call, Failed: true})
	if w.isPartitioned(v, p) {
		return
	}
	copies := 1
	if w.chance(0.05) {
		copies = 2
	}
	for range copies {
		latency := w.randomDelay(0, 3)
		if w.chance(0.05) {
			latency = w.randomDelay(300, 5000)
		}
		w.deliver(p, latency, func() {
			p.lastCall++
			p.puts[p.lastCall] = func(ans PutAnswer) {
				if !w.chance(0.05) {
					end(w.randomDelay(0, 3), PutDone{Call: a.Call, Body: ans})
				}
			}
			w.step(p, PeerPut{Call: p.lastCall, Body: a.Body})
		})
	}
}

func (w *world) sendJoin(v *simVM, a SendJoin) {
	boot := v.boot
	p := w.vmByAddr(a.Addr)
	done := false
	end := func(d time.Duration, m JoinDone) {
		w.deliverToBoot(v, boot, d, func() {
			if !done {
				done = true
				if m.Failed && w.mutation.timeoutAbandons {
					m = JoinDone{Call: a.Call, Body: JoinAnswer{Status: StatusAbandoned}}
				}
				w.step(v, m)
			}
		})
	}
	end(max(a.Deadline.Add(-v.clockSkew).Sub(w.now), 0), JoinDone{Call: a.Call, Failed: true})
	if w.isPartitioned(v, p) || w.chance(0.05) {
		end(w.randomDelay(1, 100), JoinDone{Call: a.Call, Failed: true})
		return
	}
	w.deliver(p, w.randomDelay(0, 3), func() {
		if w.mutation.alwaysAbandoned {
			end(w.randomDelay(0, 3), JoinDone{Call: a.Call, Body: JoinAnswer{Status: StatusAbandoned}})
			return
		}
		p.lastCall++
		p.joins[p.lastCall] = func(ans JoinAnswer) { end(w.randomDelay(0, 3), JoinDone{Call: a.Call, Body: ans}) }
		w.step(p, PeerJoin{Call: p.lastCall, Body: a.Body})
	})
}

// runWork checks the deadline and then sends the work to the upstream.
func (w *world) runWork(v *simVM, a Start, arr *simArrival) {
	finish := func(d time.Duration, o Outcome) {
		w.deliver(v, d, func() { w.step(v, RunEnded{Digest: a.Digest, ClaimNumber: a.ClaimNumber, Outcome: o}) })
	}
	if !w.now.Add(v.clockSkew).Before(a.Deadline) {
		finish(0, Outcome{Run: result.NotRun, Code: result.DeadlineExceeded})
		return
	}
	if !w.noRefusals && w.rng.Float64() < 0.1 {
		finish(w.randomDelay(0, 5), Outcome{Run: result.NotRun, Code: result.NoUpstream})
		return
	}
	k := w.keyByDigest[a.Digest]
	k.executions++
	k.ranOn, k.ranInBoot = v, v.boot
	k.body = fmt.Sprintf("%s run by %s/%d/%d", a.Digest, v.name, v.incarnation, a.ClaimNumber)
	w.check(k.executions <= 1, "at_most_once: key %s ran %d times, last by %s", a.Digest, k.executions, v.name)
	w.check(!arr.notRun, "not_run_true: an arrival answered not_run was run")
	arr.started = true
	k.otherFingerprint = arr.otherFingerprint
	o := Outcome{Run: result.Ran, Status: 200, Body: []byte(k.body)}
	if w.chance(0.05) {
		o = Outcome{Run: result.Unknown, Code: result.AnswerTruncated}
	}
	duration := w.randomDelay(5, 400)
	if w.chance(0.03) { // the upstream answers late
		duration = w.randomDelay(5000, 40000)
	}
	if w.chance(0.01) { // the upstream does not answer before the call's timeout
		duration, o = 60*time.Second, Outcome{Run: result.Unknown, Code: result.DeadlineExceeded}
	}
	w.deliver(v, duration, func() {
		k.runEnded = o.Run == result.Ran
		w.step(v, RunEnded{Digest: a.Digest, ClaimNumber: a.ClaimNumber, Outcome: o})
	})
}

func (w *world) check(ok bool, format string, args ...any) {
	if !ok {
		w.violations = append(w.violations, fmt.Sprintf(format, args...))
	}
}
