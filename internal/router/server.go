// Package router implements the request path of an entry VM: it accepts requests
// from callers, chooses the version and the upstream for each, and relays the
// answer.
package router

import (
	"encoding/json"
	"net/http"
	"time"

	"github.com/go-chi/chi/v5"
	"k8s.io/klog/v2"

	"github.com/cranberrypier/cranberrypier/internal/admission"
	"github.com/cranberrypier/cranberrypier/internal/billing"
	"github.com/cranberrypier/cranberrypier/internal/cascade"
	"github.com/cranberrypier/cranberrypier/internal/claims"
	"github.com/cranberrypier/cranberrypier/internal/delivery"
	"github.com/cranberrypier/cranberrypier/internal/document"
	"github.com/cranberrypier/cranberrypier/internal/drain"
	"github.com/cranberrypier/cranberrypier/internal/placement"
	"github.com/cranberrypier/cranberrypier/internal/quarantine"
	"github.com/cranberrypier/cranberrypier/internal/result"
	"github.com/cranberrypier/cranberrypier/internal/settings"
	"github.com/cranberrypier/cranberrypier/internal/timeline"
	"github.com/cranberrypier/cranberrypier/internal/upstream"
	"github.com/cranberrypier/cranberrypier/internal/versions"
)

const (
	// maxHeaderBytes is the limit of the HTTP server itself. It is far above the
	// configured limit, so that the router answers most requests with too large a
	// header with a numbered code.
	maxHeaderBytes = 4 << 20
	// headerTimeout limits how long reading a request's header takes.
	headerTimeout = 5 * time.Second
	// idleTimeout closes caller connections that are idle for this long.
	idleTimeout = 2 * time.Minute
)

// progressTimeouts holds how long an upstream may make no progress: before the
// first event and between events.
type progressTimeouts struct {
	First   time.Duration
	Between time.Duration
}

// Server serves the requests of callers.
type Server struct {
	admission  *admission.Controller
	versions   *versions.Service
	cascade    *cascade.Service
	planner    cascade.Planner
	placer     *placement.Placer
	deliverer  *delivery.Deliverer
	claims     *claims.Service
	biller     *billing.Sender
	quarantine *quarantine.Service

	control          *Control
	upstreams        *upstream.Client
	loadPoller       *loadPoller
	counters         *counters
	withdrawals      *withdrawalNotifier
	ratingWorker     *ratingWorker
	gate             *drain.Gate
	recorder         timeline.Recorder
	limits           settings.Limits
	progressTimeouts progressTimeouts
}

// NewServer returns the server of one router.
func NewServer(cfg settings.Router, components Components, c *Control, upstreams *upstream.Client, gate *drain.Gate, rec timeline.Recorder, cs *counters) *Server {
	s := &Server{
		admission: components.Admission, versions: components.Versions, cascade: components.Cascade, placer: components.Placer,
		deliverer: components.Deliverer, claims: components.Claims, biller: components.Billing, quarantine: components.Quarantine,
		control: c, upstreams: upstreams, gate: gate, recorder: rec, limits: cfg.Limits,
		withdrawals:      newWithdrawalNotifier(),
		counters:         cs,
		progressTimeouts: progressTimeouts{First: cfg.Upstream.FirstTokenTimeout.D(), Between: cfg.Upstream.StreamIdleTimeout.D()},
	}
	s.planner = newPlanner(cfg.Policy.Cascade, components.Cascade)
	s.loadPoller = newLoadPoller(upstreams, components.Placer, components.Quarantine.ObserveIncarnation)
	s.ratingWorker = newRatingWorker(s)
	c.Follow(s)
	return s
}

// Handler returns the routes for callers.
func (s *Server) Handler() http.Handler {
	r := chi.NewRouter()
	r.Use(s.recoverPanics, s.limitHeader)
	r.Post("/v1/chat/completions", s.serveChat)
	r.Get("/v1/models", s.serveModels)
	r.Post("/v1/tickets", s.serveTicket)
	r.HandleFunc("/v1/services/{service}/*", s.serveService)
	r.Get("/healthz", serveHealth)
	r.Get("/readyz", s.serveReady)
	r.NotFound(s.serveUnknown)
	r.MethodNotAllowed(s.serveUnknown)
	return r
}

// HTTPServer returns the HTTP server for callers with its timeouts and limits.
func (s *Server) HTTPServer() *http.Server {
	return &http.Server{
		Handler:           s.Handler(),
		ReadHeaderTimeout: headerTimeout,
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    maxHeaderBytes,
	}
}

// limitHeader rejects requests with too large a header with a numbered code.
func (s *Server) limitHeader(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if n := headerSize(r); n > int(s.limits.MaxHeaderBytes.Bytes()) {
			writeError(w, result.New(result.HeaderTooLarge,
				"the header has %d bytes; the limit is %d bytes", n, s.limits.MaxHeaderBytes.Bytes()), newRequestID())
			return
		}
		next.ServeHTTP(w, r)
	})
}

// recoverPanics answers a request whose handler panics with an internal error, so
// that other requests are not affected.
func (s *Server) recoverPanics(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		defer func() {
			if p := recover(); p != nil {
				klog.Errorf("router: Request handler panicked, the request is answered with an internal error: %v.", p)
				writeError(w, result.New(result.Internal, "the router failed with an internal error"), newRequestID())
			}
		}()
		next.ServeHTTP(w, r)
	})
}

// rejectRequest answers a request that is rejected before it runs.
func (s *Server) rejectRequest(w http.ResponseWriter, r *http.Request, info requestInfo, err error) {
	s.respondError(w, info, result.From(err))
	if r.Body != nil {
		discardBody(w, r)
	}
}

// respondError records an error and writes it as the response.
func (s *Server) respondError(w http.ResponseWriter, info requestInfo, e *result.Error) {
	s.recordError(info, e)
	w.Header().Set(headerRequestID, info.id)
	writeError(w, e, info.id)
}

func (s *Server) recordError(info requestInfo, e *result.Error) {
	refusals.WithLabelValues(decimal(uint64(e.Code)), string(e.Run)).Inc()
	s.recorder.Record(info.id, "request.refused", timeline.F("code", decimal(uint64(e.Code))),
		timeline.F("run", string(e.Run)), timeline.F("detail", e.Detail))
}

func (s *Server) serveUnknown(w http.ResponseWriter, r *http.Request) {
	writeError(w, result.New(result.UnknownPath, "there is no endpoint %s %s", r.Method, r.URL.Path), newRequestID())
}

func serveHealth(w http.ResponseWriter, _ *http.Request) {
	_, _ = w.Write([]byte("ok\n"))
}

// serveReady reports to the load balancer whether to send requests to this VM.
func (s *Server) serveReady(w http.ResponseWriter, _ *http.Request) {
	switch {
	case s.control.Index() == nil:
		writeError(w, result.New(result.NotReady, "no document is in force yet"), newRequestID())
	case !s.gate.Ready():
		writeError(w, result.New(result.Draining, "this VM is stopping"), newRequestID())
	default:
		_, _ = w.Write([]byte("ready\n"))
	}
}

// modelList is the response of GET /v1/models.
type modelList struct {
	Object string      `json:"object"`
	Data   []modelItem `json:"data"`
}

type modelItem struct {
	ID      string `json:"id"`
	Object  string `json:"object"`
	Created int64  `json:"created"`
	OwnedBy string `json:"owned_by"`
}

// serveModels lists the models that the team may use.
func (s *Server) serveModels(w http.ResponseWriter, r *http.Request) {
	info := requestInfo{id: newRequestID(), arrivedAt: time.Now()}
	if err := s.identifyCaller(&info, r); err != nil {
		s.rejectRequest(w, r, info, err)
		return
	}
	list := modelList{Object: "list", Data: []modelItem{}}
	for _, m := range info.index.Document().Models {
		if teamMayUse(info, m) {
			list.Data = append(list.Data, modelItem{ID: m.Name, Object: "model", OwnedBy: info.index.Document().Fleet})
		}
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(list)
}

// teamMayUse reports whether the team may use at least one version of the model.
func teamMayUse(info requestInfo, m document.Model) bool {
	for _, v := range m.Versions {
		if v.State != document.Withdrawn && info.index.Allowed(info.team.Name, m.Name, v.Name) {
			return true
		}
	}
	return false
}

// ticketResponse is the response of POST /v1/tickets.
type ticketResponse struct {
	Ticket string `json:"ticket"`
}

// serveTicket issues a run ticket: an idempotency key that does not need the
// platform. Its call runs only on the process that issued the ticket.
func (s *Server) serveTicket(w http.ResponseWriter, r *http.Request) {
	info := requestInfo{id: newRequestID(), arrivedAt: time.Now()}
	if err := s.identifyCaller(&info, r); err != nil {
		s.rejectRequest(w, r, info, err)
		return
	}
	t, err := s.claims.Ticket(info.team.Name, info.arrivedAt)
	if err != nil {
		s.rejectRequest(w, r, info, err)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(ticketResponse{Ticket: t})
}
