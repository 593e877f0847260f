package delivery

import (
	"time"

	"github.com/cranberrypier/cranberrypier/internal/result"
)

// fireTimers handles the timers that are due: the deadline, stalled attempts and
// the hedge.
func (m *Machine) fireTimers(now time.Time) {
	if m.answered {
		return
	}
	m.cancelLosers()
	if !now.Before(m.spec.Deadline) {
		m.endWithError(result.New(result.DeadlineExceeded, "no complete answer before the deadline").WithRun(m.run.state()))
		return
	}
	if !m.spec.Idempotent {
		// Canceling an attempt that can't be retried gains nothing, so it runs
		// until the deadline.
		return
	}
	m.failStalledAttempts(now)
	m.startDueHedge(now)
}

// HasLosers reports whether attempts other than the winner are running; Tick
// cancels them.
func (m *Machine) HasLosers() bool { return m.winner != 0 && m.liveCount() > 1 }

func (m *Machine) cancelLosers() {
	if !m.HasLosers() {
		return
	}
	for i := range m.attempts {
		a := &m.attempts[i]
		if a.phase != phaseEnded && a.id != m.winner {
			m.cancel(a)
			m.finishAttempt(a, false)
		}
	}
}

func (m *Machine) failStalledAttempts(now time.Time) {
	for i := 0; i < len(m.attempts); i++ {
		a := &m.attempts[i]
		at := m.stalledAt(a)
		if at.IsZero() || now.Before(at) {
			continue
		}
		m.cancel(a)
		m.onFailed(Failed{Attempt: a.id, Kind: FailStalled, Sent: true}, now)
		if m.answered {
			return
		}
	}
}

// stalledAt returns when an attempt counts as stalled; zero means never.
func (m *Machine) stalledAt(a *attempt) time.Time {
	if a.phase != phaseSent && a.phase != phaseAccepted {
		return time.Time{}
	}
	limit := m.spec.ProgressTimeout
	if !a.responded && m.spec.FirstProgressTimeout > 0 {
		limit = m.spec.FirstProgressTimeout
	}
	if limit == 0 {
		return time.Time{}
	}
	return a.lastProgress.Add(limit)
}

func (m *Machine) startDueHedge(now time.Time) {
	at := m.hedgeAt()
	if at.IsZero() || now.Before(at) {
		return
	}
	m.hedged = true
	if len(m.attempts) >= m.spec.MaxAttempts || !m.budget.TryTake() {
		return
	}
	first := m.attempts[0].upstream
	m.dispatch(Dispatch{Hedge: true, Exclude: append([]string{first}, m.exclude...)}, now)
}

// hedgeAt returns when the second attempt starts; zero means never. Only the
// first attempt is hedged, and only until its response headers arrive.
func (m *Machine) hedgeAt() time.Time {
	if !m.spec.Hedge || !m.spec.Idempotent || m.hedged || m.lastEvent > 0 || len(m.attempts) != 1 {
		return time.Time{}
	}
	a := &m.attempts[0]
	if a.phase != phaseSent {
		return time.Time{}
	}
	return a.lastProgress.Add(m.spec.HedgeDelay)
}

// NextTick returns the latest time at which Tick has to be called.
func (m *Machine) NextTick() time.Time {
	next := m.spec.Deadline
	if !m.spec.Idempotent {
		return next
	}
	for i := range m.attempts {
		if at := m.stalledAt(&m.attempts[i]); !at.IsZero() && at.Before(next) {
			next = at
		}
	}
	if at := m.hedgeAt(); !at.IsZero() && at.Before(next) {
		next = at
	}
	return next
}
