package delivery

import (
	"slices"
	"time"

	"github.com/cranberrypier/cranberrypier/internal/invariant"
	"github.com/cranberrypier/cranberrypier/internal/result"
)

// attempt is the machine's state of one dispatch.
type attempt struct {
	id         AttemptID
	upstream   string
	phase      phase
	resume     bool
	hedge      bool
	reselected bool
	// lastProgress is the time of the last progress, and responded is true if
	// the upstream sent anything since the dispatch.
	lastProgress time.Time
	responded    bool
	// nextReplayed is the id of the next event of a replay. replayDigest covers
	// the replayed events, and replayVerified is true once the replay has
	// matched all events that the caller has.
	nextReplayed   uint64
	replayDigest   uint64
	replayVerified bool
}

// Machine is the state of one request. It is not safe for concurrent use.
type Machine struct {
	spec     Spec
	budget   *Budget
	attempts []attempt
	run      runState
	exclude  []string
	// lastEvent is the id of the last event forwarded, and eventsDigest covers
	// all forwarded events. winner is the attempt that produces the caller's
	// answer.
	lastEvent    uint64
	eventsDigest uint64
	winner       AttemptID
	// answerUpstream is the upstream that runs the answer in progress.
	answerUpstream string
	withdrawn      bool
	answered       bool // Finish or GiveUp was issued
	settled        bool
	hedged         bool
	freshConn      bool
	lastFailure    Failure
	lastErr        *result.Error
	actions        []Action
}

// New returns a Machine for one request.
func New(spec Spec, budget *Budget) *Machine {
	return &Machine{spec: spec, budget: budget}
}

// Start returns the first actions.
func (m *Machine) Start(now time.Time) []Action {
	m.actions = m.actions[:0]
	m.budget.Deposit()
	if !now.Before(m.spec.Deadline) {
		m.giveUp(result.New(result.DeadlineTooShort, "the deadline had already passed when the request arrived"))
		return m.actions
	}
	m.dispatch(Dispatch{}, now)
	return m.actions
}

// Step handles one message and returns the resulting actions, which are valid
// until the next call.
func (m *Machine) Step(msg Message, now time.Time) []Action {
	m.actions = m.actions[:0]
	switch v := msg.(type) {
	case UpstreamSelected:
		m.onDispatched(v, now)
	case Accepted:
		m.onAccepted(v, now)
	case Done:
		m.onDone(v, now)
	case Failed:
		m.onFailed(v, now)
	case CallerGone:
		m.endWithError(result.New(result.CallerGone, "the caller disconnected").WithRun(m.run.state()))
	case Withdrawn:
		m.withdrawn = true
	case Tick:
	}
	m.fireTimers(now)
	return m.actions
}

// Event decides how to handle one event of an attempt's stream. Event ids count
// from 1. The digest identifies the event's content; zero means unknown. Event
// does not allocate, because it runs for every token.
//
// Only the next id in order is forwarded. Events of losing attempts, duplicates
// and late events are dropped, and a gap breaks the attempt, so that the caller
// receives each id once. A replay from an earlier id must repeat the same
// content; otherwise parts of two different answers would be joined.
func (m *Machine) Event(id AttemptID, event, digest uint64, now time.Time) Verdict {
	a := m.liveAttempt(id)
	if a == nil || m.answered || a.phase != phaseAccepted {
		return Drop
	}
	if m.winner == 0 {
		m.winner = id
		m.answerUpstream = a.upstream
	}
	if m.winner != id {
		return Drop
	}
	a.lastProgress = now
	a.responded = true
	if event <= m.lastEvent {
		return m.checkReplayed(a, event, digest)
	}
	if event != m.lastEvent+1 || (a.replayDigest > 0 && !a.replayVerified) {
		return Mismatch
	}
	m.lastEvent = event
	m.eventsDigest = updateDigest(m.eventsDigest, event, digest)
	return Forward
}

// checkReplayed compares a replayed event with the one that the caller already
// has.
func (m *Machine) checkReplayed(a *attempt, event, digest uint64) Verdict {
	if event != a.nextReplayed {
		// A duplicate within one attempt is harmless.
		if event < a.nextReplayed {
			return Drop
		}
		return Mismatch
	}
	a.replayDigest = updateDigest(a.replayDigest, event, digest)
	a.nextReplayed = event + 1
	if event == m.lastEvent {
		a.replayVerified = a.replayDigest == m.eventsDigest
		if !a.replayVerified {
			return Mismatch
		}
	}
	return Drop
}

// updateDigest adds one event to a running digest. The result is never zero.
func updateDigest(sum, event, digest uint64) uint64 {
	return (sum*0x9e3779b97f4a7c15 ^ digest + event*0xff51afd7ed558ccd) | 1
}

// LastEventID returns the id of the last event forwarded.
func (m *Machine) LastEventID() uint64 { return m.lastEvent }

// checkComplete asserts that no other attempt is running and that the caller has
// no answer yet. Gaps need no check: Event forwards only the successor of
// lastEvent, so lastEvent equals the number of forwarded events.
func (m *Machine) checkComplete() {
	invariant.Check(!m.answered && m.liveCount() == 0, invariant.CompleteAnswer,
		"request %s finished with %d attempts running, answered %v", m.spec.RequestID, m.liveCount(), m.answered)
}

// Abandon stops waiting for the outcome of a non-repeatable request whose caller
// has its final answer, and cancels the attempts that still run. The outcome is
// recorded with the run state known so far.
func (m *Machine) Abandon() []Action {
	m.actions = m.actions[:0]
	m.cancelOthers()
	m.settle(RecordOutcome{Run: m.run.state()})
	return m.actions
}

// RunState returns what is known about the request's execution.
func (m *Machine) RunState() result.RunState { return m.run.state() }

// Ended reports whether the request is answered and its outcome recorded.
func (m *Machine) Ended() bool {
	if !m.answered {
		return false
	}
	return m.spec.Idempotent || m.settled
}

// Answered reports whether the caller has its final answer.
func (m *Machine) Answered() bool { return m.answered }

func (m *Machine) liveAttempt(id AttemptID) *attempt {
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

func (m *Machine) onDispatched(v UpstreamSelected, now time.Time) {
	a := m.liveAttempt(v.Attempt)
	if a == nil || a.phase != phaseIdle {
		return
	}
	// A non-repeatable request is never sent twice: once it may have been
	// sent, no further dispatch is allowed.
	ok := m.spec.Idempotent || (m.run.inFlight == 0 && m.run.possiblyRan == 0 && !m.run.ran)
	invariant.Check(ok, invariant.AtMostOnce, "request %s dispatched again although it may have run", m.spec.RequestID)
	a.phase = phaseSent
	a.upstream = v.Upstream
	a.lastProgress = now
	m.run.markSent()
}

func (m *Machine) onAccepted(v Accepted, now time.Time) {
	a := m.liveAttempt(v.Attempt)
	if a == nil || a.phase != phaseSent {
		return
	}
	if v.RequestID != "" && v.RequestID != m.spec.RequestID {
		m.cancel(a)
		m.onFailed(Failed{Attempt: a.id, Kind: FailMismatch, Sent: true}, now)
		return
	}
	a.phase = phaseAccepted
	a.lastProgress = now
	a.responded = true
	m.run.markRan()
}

func (m *Machine) onDone(v Done, now time.Time) {
	a := m.liveAttempt(v.Attempt)
	if a == nil {
		return
	}
	if a.phase != phaseAccepted {
		m.onFailed(Failed{Attempt: a.id, Kind: FailMismatch, Sent: a.phase == phaseSent}, now)
		return
	}
	// A replay that ends early or differs is not the answer that the caller
	// received so far.
	incompleteReplay := a.resume && m.lastEvent > 0 && a.replayDigest > 0 && !a.replayVerified
	if incompleteReplay {
		m.onFailed(Failed{Attempt: a.id, Kind: FailMismatch, Sent: true}, now)
		return
	}
	if m.winner != 0 && m.winner != a.id {
		m.finishAttempt(a, false)
		return
	}
	m.winner = a.id
	m.finishAttempt(a, false)
	m.settle(RecordOutcome{Run: result.Ran, Complete: true})
	if m.answered {
		return
	}
	m.cancelOthers()
	m.checkComplete()
	m.answered = true
	m.actions = append(m.actions, Finish{Attempt: a.id})
}

func (m *Machine) finishAttempt(a *attempt, notRun bool) {
	if a.phase != phaseIdle {
		m.run.markEnded(notRun)
	}
	a.phase = phaseEnded
}

func (m *Machine) onFailed(v Failed, now time.Time) {
	a := m.liveAttempt(v.Attempt)
	if a == nil {
		return
	}
	// A rejection by the upstream proves that it did no work, unless it has
	// already sent response headers for this request.
	notRun := a.phase != phaseAccepted && (!v.Sent || v.Kind == FailRejected)
	m.finishAttempt(a, notRun)
	m.lastFailure = v.Kind
	if v.Err != nil && !a.hedge {
		m.lastErr = v.Err
	}
	if v.Kind == FailStalled {
		m.freshConn = true
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
		m.settle(RecordOutcome{Run: m.run.state()})
		return
	}
	m.retryOrEnd(v, notRun, a, now)
}

// endWithError gives the caller a final error. Attempts of a repeatable request
// are canceled. A non-repeatable request keeps running, because its outcome must
// be recorded.
func (m *Machine) endWithError(e *result.Error) {
	if m.answered {
		return
	}
	m.giveUp(e)
	if !m.spec.Idempotent && m.run.inFlight > 0 {
		return
	}
	m.cancelOthers()
	m.settle(RecordOutcome{Run: m.run.state()})
}

func (m *Machine) giveUp(e *result.Error) {
	m.run.checkNotRun(m.spec.RequestID, e)
	m.answered = true
	m.actions = append(m.actions, GiveUp{Err: e})
}

func (m *Machine) settle(s RecordOutcome) {
	if m.spec.Idempotent || m.settled {
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
