package delivery

import (
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/cranberrypier/cranberrypier/internal/result"
)

// Delays before a retry: retryBaseDelay doubles up to maxRetryDelay.
const (
	retryBaseDelay = 20 * time.Millisecond
	maxRetryDelay  = 500 * time.Millisecond
)

// retryOrEnd starts another attempt or ends the request, after the last
// running attempt failed.
func (m *Machine) retryOrEnd(v Failed, notRun bool, a *attempt, now time.Time) {
	if v.Err != nil && v.Err.Code == result.NoVersion && m.lastEvent == 0 {
		// The version was withdrawn between its selection and the dispatch.
		m.withdrawn = true
	}
	if !m.mayRetry(v, notRun, a) {
		m.endWithError(m.finalError())
		return
	}
	m.dispatch(m.nextDispatch(v, now), now)
}

// mayRetry reports whether another attempt may follow the failed one.
func (m *Machine) mayRetry(v Failed, notRun bool, a *attempt) bool {
	reselect := m.withdrawn && m.lastEvent == 0
	switch {
	case v.Kind == FailPlacement && !a.hedge && (!reselect || a.reselected):
		return false
	case !m.spec.Idempotent && m.run.state() != result.NotRun:
		return false
	case len(m.attempts) >= m.spec.MaxAttempts:
		return false
	}
	// Two kinds of retry do not consume the budget and are limited only by
	// MaxAttempts: those of attempts that did not run, which cost the upstream
	// nothing, and resumes, because an answer in progress is worth more than a
	// new one.
	return notRun || m.lastEvent > 0 || m.budget.TryTake()
}

// nextDispatch returns the dispatch that follows a failed attempt.
func (m *Machine) nextDispatch(v Failed, now time.Time) Dispatch {
	d := Dispatch{NotBefore: now.Add(m.retryDelay()), Exclude: m.exclude, FreshConn: m.freshConn}
	if m.lastEvent > 0 {
		d.Resume = true
		d.LastEventID = m.lastEvent
		if m.withdrawn {
			// The run in progress may continue, but no new one may start.
			d.Only, d.Exclude = m.answerUpstream, nil
		}
		if v.Kind == FailTruncated || v.Kind == FailStalled {
			d.Prefer = m.preferredUpstream()
		}
	} else {
		d.ReselectVersion = m.withdrawn
	}
	return d
}

// preferredUpstream returns the answer's upstream for the first resume only: the
// connection may have failed while the engine still runs.
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
		id: d.Attempt, resume: d.Resume, hedge: d.Hedge, reselected: d.ReselectVersion, lastProgress: now, nextReplayed: 1,
	})
	m.actions = append(m.actions, d)
}

// retryDelay returns the delay before the next attempt: zero for the first
// retry, then exponential backoff. The jitter is derived from the request's id,
// so that the machine needs no random source.
func (m *Machine) retryDelay() time.Duration {
	n := len(m.attempts)
	if n <= 1 {
		return 0
	}
	p := min(retryBaseDelay<<(n-2), maxRetryDelay)
	h := xxhash.Sum64String(m.spec.RequestID) >> (n % 32)
	return p/2 + time.Duration(h%uint64(p/2+1))
}

// finalError returns the caller's error after the last attempt failed.
func (m *Machine) finalError() *result.Error {
	run := m.run.state()
	switch {
	case m.lastEvent > 0 && m.lastFailure == FailMismatch:
		return result.New(result.AnswerMismatch, "the answer could not be resumed: the resumed response does not match").WithRun(run)
	case m.lastEvent > 0:
		return result.New(result.AnswerTruncated, "the answer was truncated after event %d and could not be resumed: %s", m.lastEvent, m.lastFailureText()).WithRun(run)
	case !m.spec.Idempotent && run != result.NotRun:
		return result.New(result.RunUnknown, "the call may have run; its outcome is unknown").WithRun(run)
	case m.lastErr != nil:
		return m.lastErr.WithRun(combineRuns(m.lastErr.Run, run))
	case m.lastFailure == FailMismatch:
		return result.New(result.AnswerMismatch, "the upstream's response does not match the request").WithRun(run)
	}
	return result.New(result.UpstreamFailed, "%d attempts failed; last failure: %s", len(m.attempts), m.lastFailure).WithRun(run)
}

// lastFailureText describes the failure of the last attempt.
func (m *Machine) lastFailureText() string {
	if m.lastFailure == FailPlacement && m.lastErr != nil {
		return m.lastErr.Error()
	}
	return string(m.lastFailure)
}

// combineRuns returns the state that is further from NotRun. An error that the
// transport returned may cover runs under another request id.
func combineRuns(a, b result.RunState) result.RunState {
	switch {
	case a == result.Ran || b == result.Ran:
		return result.Ran
	case a == result.Unknown || b == result.Unknown:
		return result.Unknown
	}
	return result.NotRun
}
