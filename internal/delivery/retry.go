package delivery

import (
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/cranberrypier/cranberrypier/internal/result"
)

// Bounds of the pause before a retry.
const (
	retryBaseDelay = 20 * time.Millisecond
	maxRetryDelay  = 500 * time.Millisecond
)

// again decides between a further attempt and the end after the last live
// attempt failed.
func (m *Machine) retryOrEnd(v Failed, notRun bool, a *attempt, now time.Time) {
	if v.Err != nil && v.Err.Code == result.NoVersion && m.lastEvent == 0 {
		// The version was withdrawn between the choice and the dispatch.
		m.withdrawn = true
	}
	if !m.mayRetry(v, notRun, a) {
		m.endWithError(m.finalError())
		return
	}
	m.dispatch(m.nextDispatch(v, now), now)
}

// mayRepeat reports whether another attempt may follow the failed one.
func (m *Machine) mayRetry(v Failed, notRun bool, a *attempt) bool {
	reselect := m.withdrawn && m.lastEvent == 0
	switch {
	case v.Kind == FailPlacement && !a.hedge && (!reselect || a.reselected):
		return false
	case !m.spec.Repeatable && m.run.state() != result.NotRun:
		return false
	case len(m.attempts) >= m.spec.MaxAttempts:
		return false
	}
	// A refusal cost the upstream nothing, and an answer in progress is worth
	// more than a new one; neither draws on the budget. Both are bounded by
	// MaxAttempts.
	return notRun || m.lastEvent > 0 || m.budget.Withdraw()
}

// next describes the attempt that follows a failed one.
func (m *Machine) nextDispatch(v Failed, now time.Time) Dispatch {
	d := Dispatch{NotBefore: now.Add(m.retryDelay()), Exclude: m.exclude, FreshConn: m.freshConn}
	if m.lastEvent > 0 {
		d.Resume = true
		d.LastEventID = m.lastEvent
		if m.withdrawn {
			// The run in progress may go on; a new one may not begin.
			d.Only, d.Exclude = m.answerUpstream, nil
		}
		if v.Kind == FailCut || v.Kind == FailSilent {
			d.Prefer = m.preferredUpstream()
		}
	} else {
		d.Rechoose = m.withdrawn
	}
	return d
}

// preferred names the owner for its first resume only: a connection may have
// broken where the engine did not.
func (m *Machine) preferredUpstream() string {
	n := 0
	for i := range m.attempts {
		if m.attempts[i].upstream == m.answerUpstream {
			n++
		}
	}
	if n > 1 {
		return ""
	}
	return m.answerUpstream
}

func (m *Machine) dispatch(d Dispatch, now time.Time) {
	d.Attempt = AttemptID(len(m.attempts) + 1)
	m.attempts = append(m.attempts, attempt{
		id: d.Attempt, resume: d.Resume, hedge: d.Hedge, reselected: d.Rechoose, lastProgress: now, nextReplayed: 1,
	})
	m.actions = append(m.actions, d)
}

// pause spreads retries: none before the first, then exponential with jitter
// from the request's id, so that the machine needs no randomness.
func (m *Machine) retryDelay() time.Duration {
	n := len(m.attempts)
	if n <= 1 {
		return 0
	}
	p := min(retryBaseDelay<<(n-2), maxRetryDelay)
	h := xxhash.Sum64String(m.spec.Request) >> (n % 32)
	return p/2 + time.Duration(h%uint64(p/2+1))
}

// finalError builds the refusal after the last attempt.
func (m *Machine) finalError() *result.Error {
	run := m.run.state()
	switch {
	case m.lastEvent > 0 && m.lastFailure == FailMismatch:
		return result.New(result.AnswerMismatch, "the answer could not be continued").WithRun(run)
	case m.lastEvent > 0:
		return result.New(result.AnswerCut, "the answer was cut after event %d, and not continued: %s", m.lastEvent, m.lastFailureText()).WithRun(run)
	case !m.spec.Repeatable && run != result.NotRun:
		return result.New(result.RunUnknown, "the call may have run; its outcome is not known").WithRun(run)
	case m.lastErr != nil:
		return m.lastErr.WithRun(combineRuns(m.lastErr.Run, run))
	case m.lastFailure == FailMismatch:
		return result.New(result.AnswerMismatch, "the upstream answered another request").WithRun(run)
	}
	return result.New(result.UpstreamFailed, "%d attempts failed, the last one: %s", len(m.attempts), m.lastFailure).WithRun(run)
}

// cause says in a few words why no further attempt could be made.
func (m *Machine) lastFailureText() string {
	if m.lastFailure == FailPlacement && m.lastErr != nil {
		return m.lastErr.Error()
	}
	return string(m.lastFailure)
}

// stronger returns the state that promises less. A refusal from outside may
// know of runs under another request id.
func combineRuns(a, b result.Run) result.Run {
	switch {
	case a == result.Ran || b == result.Ran:
		return result.Ran
	case a == result.Unknown || b == result.Unknown:
		return result.Unknown
	}
	return result.NotRun
}
