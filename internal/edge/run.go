package edge

import (
	"context"
	"encoding/json"
	"net/http"
	"strconv"
	"time"

	"k8s.io/klog/v2"

	"github.com/cranberrypier/cranberrypier/internal/canary"
	"github.com/cranberrypier/cranberrypier/internal/exchange"
	"github.com/cranberrypier/cranberrypier/internal/fleet"
	"github.com/cranberrypier/cranberrypier/internal/logs"
	"github.com/cranberrypier/cranberrypier/internal/result"
	"github.com/cranberrypier/cranberrypier/internal/retry"
	"github.com/cranberrypier/cranberrypier/internal/routing"
)

// run is one caller's request on its way.
type run struct {
	s   *Service
	w   http.ResponseWriter
	ctx context.Context
	req *exchange.Request
	// resumeAfter is the last event that the caller has got.
	resumeAfter string

	// kept is an upstream's own failure, passed on when nothing better comes.
	kept *answer

	tried []string // upstreams that were sent the request
	sends int      // attempts that reached an upstream
	runs  int      // attempts that ran or may have run
	why   string   // why the versions were allowed, for the log
	// outcome names how the request ended, for the log and the metrics.
	outcome string
	status  int
	first   time.Duration
}

// answer is a whole answer of an upstream.
type answer struct {
	head *exchange.Head
	body []byte
}

// gone reports whether the caller has left.
func (x *run) gone() bool { return x.ctx.Err() != nil && time.Now().Before(x.req.Deadline) }

// pick chooses an upstream for the next attempt.
func (x *run) pick(model string) (*fleet.Pick, fleet.Reason) {
	now := time.Now()
	rule := x.s.versionRule(now, x.req)
	q := x.query(model)
	q.AllowVersion = rule.Preferred
	x.why = rule.Reason
	pick, reason := x.s.fleet.Pick(now, q)
	if pick == nil && rule.Fallback != nil {
		q.AllowVersion = rule.Fallback
		x.why = rule.Reason + ", other version"
		pick, reason = x.s.fleet.Pick(now, q)
	}
	return pick, reason
}

// query describes the request to the fleet, for any version.
func (x *run) query(model string) fleet.Query {
	r := x.req
	q := fleet.Query{
		Service: r.Service.Name, ModelEngine: r.Service.ModelEngine, Model: model,
		PromptID: x.s.promptKey(r), TargetLatency: r.Route.TargetLatency, Exclude: x.tried, FirstAttempt: len(x.tried) == 0,
		AllowVersion: func(string) bool { return true }, Regions: [][]string{r.Route.Regions, r.TeamRegions},
	}
	q.SharedTokens, q.OwnTokens = promptSizes(r)
	return q
}

// promptSizes are the tokens of the shared parts of a prompt and of the rest.
func promptSizes(r *exchange.Request) (shared, own int) {
	for i, p := range r.PromptParts {
		if i < len(r.PromptParts)-1 {
			shared += p.Tokens
		} else {
			own += p.Tokens
		}
	}
	return shared, max(own, r.PromptTokens-shared)
}

// begin counts an attempt that is about to be sent.
func (x *run) begin(a *attempt) {
	x.tried = append(x.tried, a.pick.ID)
	x.s.versionBegan(time.Now(), x.req, a.pick.Version)
}

// finish counts an attempt that is over.
func (x *run) finish(a *attempt, end fleet.Outcome) {
	now := time.Now()
	x.s.fleet.Done(now, a.pick, end)
	judged := end == fleet.OutcomeSuccess || (end == fleet.OutcomeFailed && a.fate == exchange.Answered)
	x.s.versionEnded(canary.Outcome{
		Service: x.req.Service.Name, Version: a.pick.Version, Route: x.req.Route.Name,
		Conclusive: judged, Bad: judged && (end == fleet.OutcomeFailed || a.late()),
	})
	if a.crashed {
		x.s.mark(a)
	}
	x.s.metrics.attempt(a)
	a.log(end)
}

// Thresholds of an answer that counts against its version.
const (
	// lateFactor times the expected time, and lateLeast at least.
	lateFactor = 4
	lateLeast  = 300 * time.Millisecond
)

// late reports whether the first byte came so late that it speaks against the
// upstream's version.
func (a *attempt) late() bool {
	return a.firstByte > max(lateFactor*a.pick.ExpectedLatency, lateLeast)
}

// next decides what follows an attempt that brought no whole answer.
func (x *run) next(a *attempt) retry.Decision {
	if a.fate != exchange.NotSent {
		x.sends++
	}
	if !a.fate.NotRun() {
		x.runs++
	}
	now := time.Now()
	d := retry.Decide(retry.Facts{
		Repeatable: x.req.Route.RetryPolicy == routing.Idempotent, NotRun: a.fate.NotRun(),
		Runs: x.runs, MaxRuns: x.req.Route.MaxUpstreams, Attempts: len(x.tried),
		TimeLeft: x.req.Deadline.Sub(now), CallerCanceled: x.ctx.Err() != nil,
	})
	if d == retry.Again && a.fate != exchange.NotSent && !x.s.budget.TryRetry(now, x.req.Service.Name) {
		d = retry.BudgetExhausted
	}
	if d != retry.Again {
		klog.InfoS("retry: none", "request", x.req.ID, "because", d, "runs", x.runs, "tries", len(x.tried),
			"left", x.req.Deadline.Sub(now).Milliseconds(), "budget", int(x.s.budget.Remaining(now, x.req.Service.Name)))
	}
	return d
}

// noUpstream answers a request for which there is no upstream.
func (x *run) noUpstream(reason fleet.Reason) {
	if x.passKept() {
		return
	}
	x.unserved()
	if x.runs > 0 {
		x.refuse(result.New(result.UpstreamFailed, "no other upstream can take the request").WithRun(result.Unknown), string(reason))
		return
	}
	x.refuse(result.New(result.NoUpstream, "no upstream can take the request now").WithRetryAfter(x.s.returnTime(reason)), string(reason))
}

// unserved notes a request that reached no upstream.
func (x *run) unserved() {
	if x.sends == 0 {
		x.s.isolation.failed(time.Now())
	}
}

// failed answers a request whose attempts brought nothing.
func (x *run) failed(a *attempt) {
	switch {
	case x.ctx.Err() != nil && time.Now().Before(x.req.Deadline):
		x.outcome = "caller_gone"
	case x.passKept():
	case x.runs == 0:
		x.unserved()
		x.refuse(result.New(result.Overloaded, "the upstreams have no room").WithRetryAfter(x.s.returnTime(fleet.AllDown)), a.fate.String())
	case time.Until(x.req.Deadline) <= 0:
		x.refuse(result.New(result.DeadlineExceeded, "no answer in time"), a.fate.String())
	default:
		x.refuse(result.New(result.UpstreamFailed, "the upstream gave no whole answer"), a.fate.String())
	}
}

// refusal is the body of an answer of our own.
type refusal struct {
	Code   result.Code     `json:"code"`
	Name   string          `json:"name"`
	Run    result.RunState `json:"run"`
	Detail string          `json:"detail"`
}

// refuse gives an answer of our own.
func (x *run) refuse(e *result.Error, because string) {
	x.outcome = e.Code.Info().Name
	x.status = e.Code.Info().HTTPStatus
	klog.InfoS("request: refused", "request", x.req.ID, "code", int(e.Code), "name", x.outcome, "run", e.Run,
		"because", because, "retryAfter", e.RetryAfter.Milliseconds(), "tries", len(x.tried))
	x.s.writeRefusal(x.w, x.req.ID, e)
}

func (s *Service) writeRefusal(w http.ResponseWriter, id string, e *result.Error) {
	h := w.Header()
	s.ingress.MarkRefusal(h, id)
	h.Set("Content-Type", "application/json")
	if e.RetryAfter > 0 {
		h.Set("Retry-After", strconv.FormatFloat(e.RetryAfter.Seconds(), 'f', 2, 64))
	}
	info := e.Code.Info()
	body, err := json.Marshal(refusal{Code: e.Code, Name: info.Name, Run: e.Run, Detail: e.Detail})
	if err != nil {
		klog.ErrorS(err, "request: refusal not encoded", "request", id)
	}
	h.Set("Content-Length", strconv.Itoa(len(body)))
	w.WriteHeader(info.HTTPStatus)
	if _, err := w.Write(body); err != nil {
		klog.InfoS("request: refusal not delivered", "request", id, "err", logs.Err(err))
	}
}
