package edge

import (
	"context"
	"errors"
	"io"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
	"k8s.io/klog/v2"

	"github.com/cranberrypier/cranberrypier/internal/canary"
	"github.com/cranberrypier/cranberrypier/internal/exchange"
	"github.com/cranberrypier/cranberrypier/internal/fleet"
	"github.com/cranberrypier/cranberrypier/internal/poison"
	"github.com/cranberrypier/cranberrypier/internal/result"
	"github.com/cranberrypier/cranberrypier/internal/retrybudget"
	"github.com/cranberrypier/cranberrypier/internal/routing"
)

const (
	// defaultPatience is assumed of callers that name no deadline.
	defaultPatience = 30 * time.Second
	// defaultBody bounds a body where the configuration names no bound, in bytes.
	defaultBody = 4 << 20
)

// Service serves callers.
type Service struct {
	ingress   Ingress
	protocol  Protocol
	upstreams http.RoundTripper
	fleet     *fleet.Fleet
	budget    *retrybudget.Budget
	metrics   *Metrics
	config    atomic.Pointer[routing.Config]
	stopping  atomic.Bool
	isolation isolation

	mu     sync.Mutex // guards canary and poison
	canary *canary.Core
	poison *poison.Core
}

// ServeHTTP implements http.Handler.
func (s *Service) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	x := &run{s: s, w: w, ctx: r.Context(), req: &exchange.Request{ReceivedAt: time.Now()}}
	if s.stopping.Load() || s.isolation.now() {
		w.Header().Set("Connection", "close")
	}
	if e := x.admit(r); e != nil {
		x.refuse(e, "admission")
		x.finished()
		return
	}
	var cancel context.CancelFunc
	x.ctx, cancel = context.WithDeadline(r.Context(), x.req.Deadline)
	defer cancel()
	s.budget.RecordRequest(x.req.ReceivedAt, x.req.Service.Name)
	if x.req.Route.Stream {
		x.stream()
	} else {
		x.whole()
	}
	x.finished()
}

// admit decodes a request and checks that the configuration allows it.
func (x *run) admit(r *http.Request) *result.Error {
	s, arrived := x.s, x.req.ReceivedAt
	caller := s.ingress.DecodeCaller(r)
	x.req = s.ingress.DecodeRequest(r)
	x.req.ReceivedAt = arrived
	x.resumeAfter = x.req.ResumeAfter
	config := s.config.Load()
	if config == nil {
		return result.New(result.NotReady, "no configuration is known yet")
	}
	route := config.Lookup(r.Host, caller.Path)
	if route == nil {
		return result.New(result.UnknownPath, "no route for this host and path")
	}
	team := config.TeamsByKey[caller.Key]
	if team == nil && !route.Public && config.TeamsByKey != nil {
		return result.New(result.Unauthenticated, "the key is not known")
	}
	x.req.Route = route
	x.setTeam(team)
	x.setDeadlines(caller.Timeout)
	if err := x.readBody(r, config.MaxBodyBytes); err != nil {
		return err
	}
	x.req.Fingerprint = poison.FingerprintOf(x.req.Target, x.req.Team, x.req.Body)
	if s.condemned(x.req.Fingerprint) {
		return result.New(result.UpstreamFailed, "the request crashed the upstreams that ran it").WithRun(result.NotRun).WithRetryAfter(0)
	}
	x.req.Service = config.Services[route.ChooseBackend(x.affinity())]
	if x.req.Service == nil {
		return result.New(result.NoUpstream, "the route has no service")
	}
	return nil
}

// affinity keeps the requests of a session on one service.
func (x *run) affinity() string {
	if x.req.Session != "" {
		return x.req.Session
	}
	return x.req.ID
}

func (x *run) setTeam(team *routing.Team) {
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

func (x *run) setDeadlines(patience time.Duration) {
	if patience <= 0 {
		patience = defaultPatience
	}
	x.req.CallerDeadline = x.req.ReceivedAt.Add(patience)
	x.req.Deadline = x.req.CallerDeadline
	if t := x.req.Route.Timeout; t > 0 && t < patience {
		x.req.Deadline = x.req.ReceivedAt.Add(t)
	}
}

// readBody reads the whole body, so that an attempt can be repeated and the
// caller's leaving is noticed.
func (x *run) readBody(r *http.Request, most int64) *result.Error {
	if most <= 0 {
		most = defaultBody
	}
	body, err := io.ReadAll(http.MaxBytesReader(x.w, r.Body, most))
	var tooLong *http.MaxBytesError
	switch {
	case errors.As(err, &tooLong):
		return result.New(result.BodyTooLarge, "the body is longer than %d bytes", most)
	case err != nil:
		return result.New(result.BadRequest, "the body could not be read: %v", err)
	}
	x.req.Body = body
	return nil
}

// finished writes the request's last line and counts it.
func (x *run) finished() {
	took := time.Since(x.req.ReceivedAt)
	route := ""
	if x.req.Route != nil {
		route = x.req.Route.Name
	}
	x.s.metrics.request(route, x.outcome, x.first, took)
	klog.InfoS("request: done", "request", x.req.ID, "route", route, "team", x.req.Team, "session", x.req.Session,
		"outcome", x.outcome, "status", x.status, "tries", len(x.tried), "runs", x.runs,
		"first", x.first.Milliseconds(), "took", took.Milliseconds(), "config", x.s.configVersion())
}

func (s *Service) configVersion() uint64 {
	if c := s.config.Load(); c != nil {
		return c.Version
	}
	return 0
}

// promptKey identifies the shared parts of a prompt; zero when there are none.
func (s *Service) promptKey(r *exchange.Request) uint64 {
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
func (s *Service) versionRule(now time.Time, r *exchange.Request) canary.Rule {
	versions := s.fleet.Versions(r.Service.Name)
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.canary.Choose(now, r.Service.Name, r.Session, r.ID, versions)
}

func (s *Service) versionBegan(now time.Time, r *exchange.Request, version string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.canary.AttemptStarted(now, r.Service.Name, r.Session, version)
}

func (s *Service) versionEnded(o canary.Outcome) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.canary.AttemptEnded(o)
}

// condemned reports whether a request crashed several upstreams.
func (s *Service) condemned(f poison.Fingerprint) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.poison.Blocked(time.Now(), f, s.fleet.Listed)
}

// mark notes that an upstream broke its connection while it ran a request.
func (s *Service) mark(a *attempt) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.poison.Add(time.Now(), poison.Disconnect{Fingerprint: a.run.req.Fingerprint, Upstream: a.pick.ID, Born: a.pick.Incarnation})
}

// Times after which a refused caller may return.
const (
	// coldReturn is about a cold start's rest.
	coldReturn = time.Second
	// busyReturn is the time of a few calls.
	busyReturn = 300 * time.Millisecond
	// elsewhereReturn is the time until the platform sends callers to other VMs
	// once this one is not ready: two checks, a second apart.
	elsewhereReturn = 2300 * time.Millisecond
)

// returnTime is when a request that found no upstream may come back.
func (s *Service) returnTime(reason fleet.Reason) time.Duration {
	if since, cut := s.isolation.outOfReach(time.Now()); cut {
		return max(elsewhereReturn-since, busyReturn)
	}
	if reason == fleet.AllDown || reason == fleet.NoneAllowed {
		return busyReturn
	}
	return coldReturn
}
