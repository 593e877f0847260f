package delivery

import (
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/cranberrypier/cranberrypier/internal/result"
)

// Bounds of the pause before a retry.
const (
	retryPauseBase = 20 * time.Millisecond
	retryPauseMax  = 500 * time.Millisecond
)

// again decides between a further attempt and the end after the last live
// attempt failed.
func (m *Machine) again(v Failed, clean bool, a *attempt, now time.Time) {
	if v.Err != nil && v.Err.Code == result.NoVersion && m.last == 0 {
		// The version was withdrawn between the choice and the dispatch.
		m.withdrawn = true
	}
	if !m.mayRepeat(v, clean, a) {
		m.end(m.finalError())
		return
	}
	m.dispatch(m.next(v, now), now)
}

// mayRepeat reports whether another attempt may follow the failed one.
func (m *Machine) mayRepeat(v Failed, clean bool, a *attempt) bool {
	rechoose := m.withdrawn && m.last == 0
	switch {
	case v.Kind == FailPlacement && !a.hedge && (!rechoose || a.rechosen):
		return false
	case !m.spec.Repeatable && m.run.run() != result.NotRun:
		return false
	case len(m.attempts) >= m.spec.MaxAttempts:
		return false
	}
	// A refusal cost the upstream nothing, and an answer in progress is worth
	// more than a new one; neither draws on the budget. Both are bounded by
	// MaxAttempts.
	return clean || m.last > 0 || m.budget.Withdraw()
}

// next describes the attempt that follows a failed one.
func (m *Machine) next(v Failed, now time.Time) Dispatch {
	d := Dispatch{NotBefore: now.Add(m.pause()), Exclude: m.exclude, FreshConn: m.fresh}
	if m.last > 0 {
		d.Resume = true
		d.LastEventID = m.last
		if m.withdrawn {
			// The run in progress may go on; a new one may not begin.
			d.Only, d.Exclude = m.owner, nil
		}
		if v.Kind == FailCut || v.Kind == FailSilent {
			d.Prefer = m.preferred()
		}
	} else {
		d.ReselectVersion = m.withdrawn
	}
	return d
}

// preferred names the owner for its first resume only: a connection may have
// broken where the engine did not.
func (m *Machine) preferred() string {
	n := 0
	for i := range m.attempts {
		if m.attempts[i].upstream == m.owner {
			n++
		}
	}
	if n > 1 {
		return ""
	}
	return m.owner
}

func (m *Machine) dispatch(d Dispatch, now time.Time) {
	d.Attempt = AttemptID(len(m.attempts) + 1)
	m.attempts = append(m.attempts, attempt{
		id: d.Attempt, resume: d.Resume, hedge: d.Hedge, rechosen: d.ReselectVersion, progress: now, next: 1,
	})
	m.actions = append(m.actions, d)
}

// pause spreads retries: none before the first, then exponential with jitter
// from the request's id, so that the machine needs no randomness.
func (m *Machine) pause() time.Duration {
	n := len(m.attempts)
	if n <= 1 {
		return 0
	}
	p := min(retryPauseBase<<(n-2), retryPauseMax)
	h := xxhash.Sum64String(m.spec.RequestID) >> (n % 32)
	return p/2 + time.Duration(h%uint64(p/2+1))
}

// finalError builds the refusal after the last attempt.
func (m *Machine) finalError() *result.Error {
	run := m.run.run()
	switch {
	case m.last > 0 && m.failure == FailMismatch:
		return result.New(result.AnswerMismatch, "the answer could not be continued").WithRun(run)
	case m.last > 0:
		return result.New(result.AnswerCut, "the answer was cut after event %d, and not continued: %s", m.last, m.cause()).WithRun(run)
	case !m.spec.Repeatable && run != result.NotRun:
		return result.New(result.RunUnknown, "the call may have run; its outcome is not known").WithRun(run)
	case m.err != nil:
		return m.err.WithRun(stronger(m.err.Run, run))
	case m.failure == FailMismatch:
		return result.New(result.AnswerMismatch, "the upstream answered another request").WithRun(run)
	}
	return result.New(result.UpstreamFailed, "%d attempts failed, the last one: %s", len(m.attempts), m.failure).WithRun(run)
}

// cause says in a few words why no further attempt could be made.
func (m *Machine) cause() string {
	if m.failure == FailPlacement && m.err != nil {
		return m.err.Error()
	}
	return string(m.failure)
}

// stronger returns the state that promises less. A refusal from outside may
// know of runs under another request id.
func stronger(a, b result.RunState) result.RunState {
	switch {
	case a == result.Ran || b == result.Ran:
		return result.Ran
	case a == result.Unknown || b == result.Unknown:
		return result.Unknown
	}
	return result.NotRun
}
