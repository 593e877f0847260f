package delivery

import (
	"time"

	"github.com/cranberrypier/cranberrypier/internal/result"
)

// onTime fires what is due: the deadline, silent attempts, the hedge.
func (m *Machine) onTime(now time.Time) {
	if m.answered {
		return
	}
	m.cancelLosers()
	if !now.Before(m.spec.Deadline) {
		m.end(result.New(result.DeadlineExceeded, "no whole answer by the deadline").WithRun(m.run.run()))
		return
	}
	if !m.spec.Repeatable {
		// An attempt that can't be repeated gains nothing from being cut: it
		// waits for the deadline.
		return
	}
	m.checkSilence(now)
	m.checkHedge(now)
}

// HasLosers is true while attempts run besides the one that the caller's
// answer comes from; Tick cancels them.
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

func (m *Machine) checkSilence(now time.Time) {
	for i := 0; i < len(m.attempts); i++ {
		a := &m.attempts[i]
		at := m.silentAt(a)
		if at.IsZero() || now.Before(at) {
			continue
		}
		m.cancel(a)
		m.onFailed(Failed{Attempt: a.id, Kind: FailSilent, Sent: true}, now)
		if m.answered {
			return
		}
	}
}

// silentAt is when an attempt counts as silent; zero for never.
func (m *Machine) silentAt(a *attempt) time.Time {
	if a.phase != phaseSent && a.phase != phaseAccepted {
		return time.Time{}
	}
	limit := m.spec.ProgressTimeout
	if !a.answered && m.spec.FirstProgressTimeout > 0 {
		limit = m.spec.FirstProgressTimeout
	}
	if limit == 0 {
		return time.Time{}
	}
	return a.progress.Add(limit)
}

func (m *Machine) checkHedge(now time.Time) {
	at := m.hedgeAt()
	if at.IsZero() || now.Before(at) {
		return
	}
	m.hedged = true
	if len(m.attempts) >= m.spec.MaxAttempts || !m.budget.Withdraw() {
		return
	}
	first := m.attempts[0].upstream
	m.dispatch(Dispatch{Hedge: true, Exclude: append([]string{first}, m.exclude...)}, now)
}

// hedgeAt is when the second attempt starts; zero for never. Only the first
// attempt is hedged, only while nothing of its answer has come.
func (m *Machine) hedgeAt() time.Time {
	if !m.spec.Hedge || !m.spec.Repeatable || m.hedged || m.last > 0 || len(m.attempts) != 1 {
		return time.Time{}
	}
	a := &m.attempts[0]
	if a.phase != phaseSent {
		return time.Time{}
	}
	return a.progress.Add(m.spec.HedgeDelay)
}

// NextTick is when Tick is due at the latest.
func (m *Machine) NextTick() time.Time {
	next := m.spec.Deadline
	if !m.spec.Repeatable {
		return next
	}
	for i := range m.attempts {
		if at := m.silentAt(&m.attempts[i]); !at.IsZero() && at.Before(next) {
			next = at
		}
	}
	if at := m.hedgeAt(); !at.IsZero() && at.Before(next) {
		next = at
	}
	return next
}
