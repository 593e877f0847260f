// Package router is the request path of one entry VM: it takes requests from
// callers, decides with the slices where each runs, and relays the answer.
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
	// hardHeaderBytes is where the HTTP server itself cuts a header. It is far
	// above the limit that the router answers with a numbered code.
	hardHeaderBytes = 4 << 20
	// headerTime bounds the arrival of a header.
	headerTime = 5 * time.Second
	// idleTime bounds an idle caller connection.
	idleTime = 2 * time.Minute
)

// silence holds the longest times without progress of an upstream.
type silence struct {
	First   time.Duration
	Between time.Duration
}

// Server answers callers.
type Server struct {
	admission  *admission.Controller
	versions   *versions.Service
	cascade    *cascade.Service
	planner    cascade.Planner
	placer     *placement.Service
	deliverer  *delivery.Deliverer
	claims     *claims.Service
	biller     *billing.Sender
	quarantine *quarantine.Service

	control   *Control
	engines   *upstream.Client
	reports   *reports
	counters  *counters
	withdrawn *withdrawals
	raters    *raters
	gate      *drain.Gate
	recorder  timeline.Recorder
	limits    settings.Limits
	silence   silence
}

// NewServer returns the server of one router.
func NewServer(cfg settings.Router, sl Components, c *Control, engines *upstream.Client, gate *drain.Gate, rec timeline.Recorder, cs *counters) *Server {
	s := &Server{
		admission: sl.Admission, versions: sl.Versions, cascade: sl.Cascade, placer: sl.Placer,
		deliverer: sl.Deliverer, claims: sl.Claims, biller: sl.Billing, quarantine: sl.Quarantine,
		control: c, engines: engines, gate: gate, recorder: rec, limits: cfg.Limits,
		withdrawn: newWithdrawals(),
		counters:  cs,
		silence:   silence{First: cfg.Upstream.FirstToken.D(), Between: cfg.Upstream.Silence.D()},
	}
	s.planner = newPlanner(cfg.Policy.Cascade, sl.Cascade)
	s.reports = newReports(engines, sl.Placer, sl.Quarantine.ObserveIncarnation)
	s.raters = newRaters(s)
	c.Follow(s)
	return s
}

// Handler returns the routes for callers.
func (s *Server) Handler() http.Handler {
	r := chi.NewRouter()
	r.Use(s.recoverPanics, s.boundHeader)
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

// HTTPServer returns the bounded HTTP server for callers.
func (s *Server) HTTPServer() *http.Server {
	return &http.Server{
		Handler:           s.Handler(),
		ReadHeaderTimeout: headerTime,
		IdleTimeout:       idleTime,
		MaxHeaderBytes:    hardHeaderBytes,
	}
}

// boundHeader refuses large headers with a numbered code.
func (s *Server) boundHeader(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if n := headerBytes(r); n > int(s.limits.HeaderBytes.Bytes()) {
			writeRefusal(w, result.New(result.HeaderTooLarge,
				"the header has %d bytes, %d are allowed", n, s.limits.HeaderBytes.Bytes()), newRequestID())
			return
		}
		next.ServeHTTP(w, r)
	})
}

// recoverPanics turns a fault of one request into its own refusal.
func (s *Server) recoverPanics(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		defer func() {
			if p := recover(); p != nil {
				klog.Errorf("router: A request failed inside the program: %v.", p)
				writeRefusal(w, result.New(result.Internal, "the router failed"), newRequestID())
			}
		}()
		next.ServeHTTP(w, r)
	})
}

// refuse answers a request that was refused before it ran.
func (s *Server) refuse(w http.ResponseWriter, r *http.Request, a arrival, err error) {
	s.finishRefused(w, a, result.From(err))
	if r.Body != nil {
		discardBody(w, r)
	}
}

// finishRefused writes and records a refusal.
func (s *Server) finishRefused(w http.ResponseWriter, a arrival, e *result.Error) {
	s.recordRefusal(a, e)
	w.Header().Set(headerRequestID, a.id)
	writeRefusal(w, e, a.id)
}

func (s *Server) recordRefusal(a arrival, e *result.Error) {
	refusals.WithLabelValues(decimal(uint64(e.Code)), string(e.Run)).Inc()
	s.recorder.Record(a.id, "request.refused", timeline.F("code", decimal(uint64(e.Code))),
		timeline.F("run", string(e.Run)), timeline.F("detail", e.Detail))
}

func (s *Server) serveUnknown(w http.ResponseWriter, r *http.Request) {
	writeRefusal(w, result.New(result.UnknownPath, "there is no %s %s", r.Method, r.URL.Path), newRequestID())
}

func serveHealth(w http.ResponseWriter, _ *http.Request) {
	_, _ = w.Write([]byte("ok\n"))
}

// serveReady tells the balancer whether to send work.
func (s *Server) serveReady(w http.ResponseWriter, _ *http.Request) {
	switch {
	case s.control.Index() == nil:
		writeRefusal(w, result.New(result.NotReady, "no document is in force yet"), newRequestID())
	case !s.gate.Ready():
		writeRefusal(w, result.New(result.Draining, "this VM is stopping"), newRequestID())
	default:
		_, _ = w.Write([]byte("ready\n"))
	}
}

// modelList is the answer of GET /v1/models.
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
	a := arrival{id: newRequestID(), at: time.Now()}
	if err := s.identify(&a, r); err != nil {
		s.refuse(w, r, a, err)
		return
	}
	list := modelList{Object: "list", Data: []modelItem{}}
	for _, m := range a.index.Document().Models {
		if usable(a, m) {
			list.Data = append(list.Data, modelItem{ID: m.Name, Object: "model", OwnedBy: a.index.Document().Fleet})
		}
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(list)
}

// usable reports whether the team may use some version of the model.
func usable(a arrival, m document.Model) bool {
	for _, v := range m.Versions {
		if v.State != document.Withdrawn && a.index.Allowed(a.team.Name, m.Name, v.Name) {
			return true
		}
	}
	return false
}

// ticketAnswer is the answer of POST /v1/tickets.
type ticketAnswer struct {
	Ticket string `json:"ticket"`
}

// serveTicket issues a run ticket: a key that works without the platform, on
// this process only.
func (s *Server) serveTicket(w http.ResponseWriter, r *http.Request) {
	a := arrival{id: newRequestID(), at: time.Now()}
	if err := s.identify(&a, r); err != nil {
		s.refuse(w, r, a, err)
		return
	}
	t, err := s.claims.Ticket(a.team.Name, a.at)
	if err != nil {
		s.refuse(w, r, a, err)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(ticketAnswer{Ticket: t})
}
