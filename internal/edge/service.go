package edge

import (
	"context"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
	"k8s.io/klog/v2"

	"github.com/cranberrypier/cranberrypier/internal/canary"
	"github.com/cranberrypier/cranberrypier/internal/exchange"
	"github.com/cranberrypier/cranberrypier/internal/fleet"
	"github.com/cranberrypier/cranberrypier/internal/modelchoice"
	"github.com/cranberrypier/cranberrypier/internal/poison"
	"github.com/cranberrypier/cranberrypier/internal/result"
	"github.com/cranberrypier/cranberrypier/internal/retrybudget"
	"github.com/cranberrypier/cranberrypier/internal/routing"
)

const (
	// defaultCallerTimeout is assumed for callers that send no deadline.
	defaultCallerTimeout = 30 * time.Second
	// defaultMaxBodyBytes limits a request's body, in bytes, if the configuration
	// sets no limit.
	defaultMaxBodyBytes = 4 << 20
)

// Proxy serves callers. It forwards their requests to upstreams.
type Proxy struct {
	ingress   Ingress
	protocol  Protocol
	transport http.RoundTripper
	// dialUpstream opens the connections to upstreams.
	dialUpstream DialFunc
	fleet        *fleet.Fleet
	budget       *retrybudget.Budget
	metrics      *Metrics
	config       atomic.Pointer[routing.Config]
	stop         atomic.Pointer[stopPlan] // nil until a planned stop begins
	// lastAnswers ends when requests get their last answer in a planned stop.
	lastAnswers      context.Context
	beginLastAnswers context.CancelFunc
	isolation        isolation
	forwarder        *forwarder
	rooms            *waitingRooms
	bodies           *byteBudget
	responses        *byteBudget
	undecided        undecidedCrashes
	started          startSignal
	// contention is vm.Settings.Contention.
	contention bool

	mu     sync.Mutex // guards canary, poison and gains
	canary *canary.Core
	poison *poison.Core
	gains  *modelchoice.Gains
}

// ServeHTTP implements http.Handler. It serves the requests of callers.
func (s *Proxy) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	x := s.newRequestState(w, r)
	if r.Header.Get(forwardHeader) != "" {
		x.respondError(result.New(result.ForwardNotAllowed, "only entry VMs may send the header %s", forwardHeader), "admission")
		x.finishRequest()
		return
	}
	x.serve(r)
}

// serve serves a request of a caller or one that another VM forwards.
func (x *requestState) serve(r *http.Request) {
	s := x.proxy
	defer x.holdBytes(0)
	defer x.holdResponse(0)
	if s.stop.Load() != nil || s.isolation.isIsolated() {
		x.w.Header().Set("Connection", "close")
	}
	if e := x.admit(r); e != nil {
		x.respondError(e, "admission")
		x.finishRequest()
		return
	}
	var cancel context.CancelCauseFunc
	x.ctx, cancel = context.WithCancelCause(r.Context())
	defer cancel(nil)
	x.startDeadline(cancel)
	defer x.deadline.Stop()
	x.outlastVM = x.endWithVM(cancel)
	defer x.outlastVM()
	defer x.dropReservation()
	if x.req.Route.Stream {
		x.serveStream()
	} else {
		x.serveBuffered()
	}
	x.finishRequest()
}

// admit decodes a request and checks that the configuration allows it.
func (x *requestState) admit(r *http.Request) *result.Error {
	s, arrived := x.proxy, x.req.ReceivedAt
	caller := s.ingress.DecodeCaller(r)
	x.req = s.ingress.DecodeRequest(r)
	x.req.ReceivedAt = arrived
	x.callerHeader = r.Header
	x.resumeAfter = x.req.ResumeAfter
	if e := x.awaitStart(r, caller.Timeout); e != nil {
		return e
	}
	config := s.config.Load()
	x.configVersion = config.Version
	if e := x.refuseForwarded(); e != nil {
		return e
	}
	route := config.Lookup(r.Host, caller.Path)
	if route == nil {
		return result.New(result.UnknownPath, "no route for this host and path")
	}
	// In a configuration without teams, all callers are allowed.
	team := config.TeamsByKey[caller.Key]
	if team == nil && !route.Public && config.TeamsByKey != nil {
		return result.New(result.Unauthenticated, "unknown API key")
	}
	x.req.Route = route
	x.setTeam(team)
	x.setDeadlines(caller.Timeout)
	x.caller.setPatience(callerPatience(route.TargetLatency, route.TargetGap))
	if err := x.readBody(r, config.MaxBodyBytes); err != nil {
		return err
	}
	if s.stop.Load().refuses(time.Now(), x.req.Deadline) {
		return stoppingError()
	}
	x.req.ContentKeys = poison.KeysOf(x.req.RequestURI, x.req.Team, x.req.Body, sharedPartIDs(x.req))
	if x.isContentBlocked() {
		return x.contentBlockedError()
	}
	x.req.Service = config.Services[route.ChooseBackend(x.affinityKey())]
	if x.req.Service == nil {
		return result.New(result.NoUpstream, "the route's service is not configured")
	}
	return x.refuseForwarded()
}

// affinityKey returns the key that keeps the requests of a session on one
// service.
func (x *requestState) affinityKey() string {
	if x.req.Session != "" {
		return x.req.Session
	}
	return x.req.ID
}

func (x *requestState) setTeam(team *routing.Team) {
	x.req.Priority = x.req.Route.Priority
	if team == nil {
		return
	}
	x.req.Team = team.Name
	x.req.TeamRegions = team.Regions
	if team.HasPriority {
		x.req.Priority = team.Priority
	}
}

// startDeadline cancels the request's context at its deadline, unless the timer is changed.
func (x *requestState) startDeadline(cancel context.CancelCauseFunc) {
	left := time.Until(x.req.Deadline)
	if left <= 0 {
		cancel(context.DeadlineExceeded)
	}
	x.deadline = time.AfterFunc(left, func() { cancel(context.DeadlineExceeded) })
}

func (x *requestState) setDeadlines(callerTimeout time.Duration) {
	if callerTimeout <= 0 {
		callerTimeout = defaultCallerTimeout
	}
	x.req.CallerDeadline = x.req.ReceivedAt.Add(callerTimeout)
	x.req.Deadline = x.req.CallerDeadline
	if t := x.req.Route.Timeout; t > 0 && t < callerTimeout {
		x.req.Deadline = x.req.ReceivedAt.Add(t)
	}
}

// finishRequest writes the request's last log line and updates the metrics.
func (x *requestState) finishRequest() {
	took := time.Since(x.req.ReceivedAt)
	route := ""
	if x.req.Route != nil {
		route = x.req.Route.Name
	}
	x.proxy.metrics.observeRequest(route, x.outcome, x.firstByte, took)
	klog.InfoS("request: done", "request", x.req.ID, "route", route, "team", x.req.Team, "session", x.req.Session,
		"outcome", x.outcome, "status", x.status, "tries", len(x.tried), "runs", x.runs,
		"first", x.firstByte.Milliseconds(), "took", took.Milliseconds(), "config", x.configVersion, "from", x.from())
}

func (s *Proxy) configVersion() uint64 {
	if c := s.config.Load(); c != nil {
		return c.Version
	}
	return 0
}

// sharedPromptID returns a hash of the parts of a prompt that other requests may
// share: all parts except the last. It returns zero if there are none.
func (s *Proxy) sharedPromptID(r *exchange.Request) uint64 {
	if len(r.PromptParts) < 2 {
		return 0
	}
	var d xxhash.Digest
	d.Reset()
	for _, p := range r.PromptParts[:len(r.PromptParts)-1] {
		_, _ = d.WriteString(p.ID + ",") // a hash never fails to write
	}
	return d.Sum64()
}

// versionRule returns the versions that a request may run on.
func (s *Proxy) versionRule(now time.Time, r *exchange.Request) canary.Rule {
	versions := s.fleet.Versions(r.Service.Name)
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.canary.Choose(now, r.Service.Name, r.Session, r.ID, versions)
}

func (s *Proxy) recordAttemptStart(now time.Time, r *exchange.Request, version string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.canary.AttemptStarted(now, r.Service.Name, r.Session, version)
}

func (s *Proxy) recordAttemptOutcome(o canary.Outcome) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.canary.AttemptEnded(o)
}

// Retry-After values for rejected requests.
const (
	// coldRetryAfter is sent for all reasons without a value below, mainly
	// cold upstreams. It is about the remaining time of a cold start.
	coldRetryAfter = time.Second
	// shortRetryAfter is sent when all upstreams are unreachable or none is
	// allowed, and is the minimum for a VM that is or may be isolated. It is
	// about the duration of a few calls.
	shortRetryAfter = 300 * time.Millisecond
	// failoverRetryAfter is the time until the platform sends callers to other
	// VMs after this one reports not ready: two readiness checks, one second
	// apart.
	failoverRetryAfter = 2300 * time.Millisecond
)

// retryAfter returns when the caller may retry a request that found no upstream. A VM that
// is isolated sends it to others instead.
func (x *requestState) retryAfter(reason fleet.Reason) time.Duration {
	if x.roomExpectedIn > 0 && !x.proxy.isolation.isIsolated() {
		return x.roomExpectedIn
	}
	return x.proxy.retryAfter(reason, x.req.Service.Name)
}

// retryAfter returns when a caller may retry a request that found no upstream of
// the service.
func (s *Proxy) retryAfter(reason fleet.Reason, service string) time.Duration {
	if left := s.fleet.PauseLeft(time.Now(), service); left > 0 {
		return max(left, shortRetryAfter)
	}
	if reason == fleet.AllPaused { // the pause has just ended
		return shortRetryAfter
	}
	if left := s.fleet.RoomExpectedIn(time.Now(), service); left > 0 && (reason == fleet.AllFull || reason == fleet.NoneReachable) {
		return max(left, shortRetryAfter)
	}
	if left := s.fleet.LimitWait(time.Now(), service); left > 0 && reason == fleet.AllLimited {
		return max(left, shortRetryAfter)
	}
	if isolatedFor, suspected := s.isolation.status(time.Now()); suspected {
		return max(failoverRetryAfter-isolatedFor, shortRetryAfter)
	}
	if reason == fleet.NoneReachable || reason == fleet.NoneAllowed {
		return shortRetryAfter
	}
	return coldRetryAfter
}
