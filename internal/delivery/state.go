package delivery

import (
	"slices"
	"time"

	"github.com/cranberrypier/cranberrypier/internal/invariant"
	"github.com/cranberrypier/cranberrypier/internal/result"
)

// attempt is the machine's knowledge of one dispatch.
type attempt struct {
	id       AttemptID
	upstream string
	phase    phase
	resume   bool
	hedge    bool
	rechosen bool
	// progress is the last sign of life, and answered whether there was one
	// since the dispatch.
	progress time.Time
	answered bool
	// next is the id of the event that must come next, and digest runs over
	// the replayed events up to the caller's last one.
	next    uint64
	replay  uint64
	checked bool
}

// Machine is the state of one request. It is not safe for concurrent use.
type Machine struct {
	spec     Spec
	budget   *Budget
	attempts []attempt
	run      runState
	exclude  []string
	// last is the id of the last event forwarded, digest runs over all of
	// them, and winner is the attempt that the caller's answer comes from.
	last   uint64
	digest uint64
	winner AttemptID
	// owner is the upstream on which the answer in progress runs.
	owner     string
	withdrawn bool
	answered  bool // the caller got Finish or GiveUp
	settled   bool
	hedged    bool
	fresh     bool
	failure   Failure
	err       *result.Error
	actions   []Action
}

// New returns the machine of one request.
func New(spec Spec, budget *Budget) *Machine {
	return &Machine{spec: spec, budget: budget}
}

// Start returns the first actions.
func (m *Machine) Start(now time.Time) []Action {
	m.actions = m.actions[:0]
	m.budget.Deposit()
	if !now.Before(m.spec.Deadline) {
		m.giveUp(result.New(result.DeadlineTooShort, "the deadline has passed"))
		return m.actions
	}
	m.dispatch(Dispatch{}, now)
	return m.actions
}

// Step takes one message and returns the actions, which are valid until the
// next call.
func (m *Machine) Step(msg Message, now time.Time) []Action {
	m.actions = m.actions[:0]
	switch v := msg.(type) {
	case Dispatched:
		m.onDispatched(v, now)
	case Accepted:
		m.onAccepted(v, now)
	case Done:
		m.onDone(v, now)
	case Failed:
		m.onFailed(v, now)
	case CallerGone:
		m.end(result.New(result.CallerGone, "the caller left").WithRun(m.run.run()))
	case Withdrawn:
		m.withdrawn = true
	case Tick:
	}
	m.onTime(now)
	return m.actions
}

// Event judges one event of an attempt's stream. Ids count from 1. The digest
// identifies the event's content; zero means unknown. It allocates nothing,
// since it runs for every token.
//
// Only the next id in order is forwarded: an event of a loser, a repeat and a
// late event are dropped, and a gap breaks the attempt. Thus the caller sees
// each id once. A replay from an earlier id has to repeat the same content,
// else two different answers would be joined.
func (m *Machine) Event(id AttemptID, event, digest uint64, now time.Time) Verdict {
	a := m.live(id)
	if a == nil || m.answered || a.phase != phaseAccepted {
		return Drop
	}
	if m.winner == 0 {
		m.winner = id
		m.owner = a.upstream
	}
	if m.winner != id {
		return Drop
	}
	a.progress = now
	a.answered = true
	if event <= m.last {
		return m.replayed(a, event, digest)
	}
	if event != m.last+1 || (a.replay > 0 && !a.checked) {
		return Broken
	}
	m.last = event
	m.digest = fold(m.digest, event, digest)
	return Forward
}

// replayed checks an event that the caller already has.
func (m *Machine) replayed(a *attempt, event, digest uint64) Verdict {
	if event != a.next {
		// A repeat within one attempt carries nothing new.
		if event < a.next {
			return Drop
		}
		return Broken
	}
	a.replay = fold(a.replay, event, digest)
	a.next = event + 1
	if event == m.last {
		a.checked = a.replay == m.digest
		if !a.checked {
			return Broken
		}
	}
	return Drop
}

// fold adds one event to a running digest. Never zero.
func fold(sum, event, digest uint64) uint64 {
	return (sum*0x9e3779b97f4a7c15 ^ digest + event*0xff51afd7ed558ccd) | 1
}

// LastEventID is the id of the last event forwarded.
func (m *Machine) LastEventID() uint64 { return m.last }

// checkWhole asserts that the finished answer has no hole and no open rival.
// Event forwards only the successor of last, so that last counts the events.
func (m *Machine) checkWhole() {
	invariant.Check(!m.answered && m.liveCount() == 0, invariant.WholeAnswer,
		"request %s finished with %d attempts live, answered %v", m.spec.RequestID, m.liveCount(), m.answered)
}

// Abandon ends the wait for the outcome of non-repeatable work: the caller
// has its answer, and the outcome is recorded as unknown.
func (m *Machine) Abandon() []Action {
	m.actions = m.actions[:0]
	m.cancelOthers()
	m.settle(Settle{Run: m.run.run()})
	return m.actions
}

// RunState is what may be said now about the request's execution.
func (m *Machine) RunState() result.RunState { return m.run.run() }

// Ended is true when nothing remains to do or to record.
func (m *Machine) Ended() bool {
	if !m.answered {
		return false
	}
	return m.spec.Repeatable || m.settled
}

// Answered is true when the caller has its final answer.
func (m *Machine) Answered() bool { return m.answered }

func (m *Machine) live(id AttemptID) *attempt {
	if id < 1 || int(id) > len(m.attempts) {
		return nil
	}
	a := &m.attempts[id-1]
	if a.phase == phaseEnded {
		return nil
	}
	return a
}

func (m *Machine) liveCount() int {
	n := 0
	for i := range m.attempts {
		if m.attempts[i].phase != phaseEnded {
			n++
		}
	}
	return n
}

func (m *Machine) onDispatched(v Dispatched, now time.Time) {
	a := m.live(v.Attempt)
	if a == nil || a.phase != phaseIdle {
		return
	}
	// Work that is not repeatable is never sent twice: the first possible
	// send closes the door for all further ones.
	ok := m.spec.Repeatable || (m.run.open == 0 && m.run.unsure == 0 && !m.run.started)
	invariant.Check(ok, invariant.AtMostOnce, "request %s dispatched again", m.spec.RequestID)
	a.phase = phaseSent
	a.upstream = v.Upstream
	a.progress = now
	m.run.sent()
}

func (m *Machine) onAccepted(v Accepted, now time.Time) {
	a := m.live(v.Attempt)
	if a == nil || a.phase != phaseSent {
		return
	}
	if v.RequestID != "" && v.RequestID != m.spec.RequestID {
		m.cancel(a)
		m.onFailed(Failed{Attempt: a.id, Kind: FailMismatch, Sent: true}, now)
		return
	}
	a.phase = phaseAccepted
	a.progress = now
	a.answered = true
	m.run.ran()
}

func (m *Machine) onDone(v Done, now time.Time) {
	a := m.live(v.Attempt)
	if a == nil {
		return
	}
	if a.phase != phaseAccepted {
		m.onFailed(Failed{Attempt: a.id, Kind: FailMismatch, Sent: a.phase == phaseSent}, now)
		return
	}
	// A replay that ends early or differs is another answer than the caller's.
	torn := a.resume && m.last > 0 && a.replay > 0 && !a.checked
	if torn {
		m.onFailed(Failed{Attempt: a.id, Kind: FailMismatch, Sent: true}, now)
		return
	}
	if m.winner != 0 && m.winner != a.id {
		m.finishAttempt(a, false)
		return
	}
	m.winner = a.id
	m.finishAttempt(a, false)
	m.settle(Settle{Run: result.Ran, Complete: true})
	if m.answered {
		return
	}
	m.cancelOthers()
	m.checkWhole()
	m.answered = true
	m.actions = append(m.actions, Finish{Attempt: a.id})
}

func (m *Machine) finishAttempt(a *attempt, clean bool) {
	if a.phase != phaseIdle {
		m.run.ended(clean)
	}
	a.phase = phaseEnded
}

func (m *Machine) onFailed(v Failed, now time.Time) {
	a := m.live(v.Attempt)
	if a == nil {
		return
	}
	// The upstream's own refusal proves that it did no work, unless it had
	// already answered for this request.
	clean := a.phase != phaseAccepted && (!v.Sent || v.Kind == FailRefused)
	m.finishAttempt(a, clean)
	m.failure = v.Kind
	if v.Err != nil && !a.hedge {
		m.err = v.Err
	}
	if v.Kind == FailSilent {
		m.fresh = true
	}
	if a.upstream != "" && v.Kind != FailPlacement && !slices.Contains(m.exclude, a.upstream) {
		m.exclude = append(m.exclude, a.upstream)
	}
	if m.winner == a.id {
		m.winner = 0
	}
	if m.liveCount() > 0 {
		return
	}
	if m.answered {
		m.settle(Settle{Run: m.run.run()})
		return
	}
	m.again(v, clean, a, now)
}

// end gives the caller its final answer. Repeatable work is canceled; work
// that is not repeatable runs on, since its outcome has to be recorded.
func (m *Machine) end(e *result.Error) {
	if m.answered {
		return
	}
	m.giveUp(e)
	if !m.spec.Repeatable && m.run.open > 0 {
		return
	}
	m.cancelOthers()
	m.settle(Settle{Run: m.run.run()})
}

func (m *Machine) giveUp(e *result.Error) {
	m.run.checkRefusal(m.spec.RequestID, e)
	m.answered = true
	m.actions = append(m.actions, GiveUp{Err: e})
}

func (m *Machine) settle(s Settle) {
	if m.spec.Repeatable || m.settled {
		return
	}
	m.settled = true
	m.actions = append(m.actions, s)
}

func (m *Machine) cancel(a *attempt) {
	m.actions = append(m.actions, Cancel{Attempt: a.id})
}

func (m *Machine) cancelOthers() {
	for i := range m.attempts {
		a := &m.attempts[i]
		if a.phase == phaseEnded {
			continue
		}
		m.cancel(a)
		m.finishAttempt(a, false)
	}
}
