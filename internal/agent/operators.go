package agent

import (
	"context"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/go-chi/chi/v5"
	"github.com/go-chi/chi/v5/middleware"
	"github.com/prometheus/client_golang/prometheus/promhttp"
	"k8s.io/klog/v2"

	"github.com/cranberrypier/cranberrypier/internal/control"
	"github.com/cranberrypier/cranberrypier/internal/distribution"
	"github.com/cranberrypier/cranberrypier/internal/document"
	"github.com/cranberrypier/cranberrypier/internal/membership"
	"github.com/cranberrypier/cranberrypier/internal/operator"
	"github.com/cranberrypier/cranberrypier/internal/peer"
	"github.com/cranberrypier/cranberrypier/internal/pki"
	"github.com/cranberrypier/cranberrypier/internal/result"
	"github.com/cranberrypier/cranberrypier/internal/settings"
	"github.com/cranberrypier/cranberrypier/internal/timeline"
)

const (
	// maxConcurrentRequests limits the operators' in-flight requests.
	maxConcurrentRequests = 32
	// maxDrainBody is the maximum size of a drain request in bytes.
	maxDrainBody = 4 << 10
	// drainTimeout limits the call to the agent of the VM to drain.
	drainTimeout = 3 * time.Second
	// requestReadTimeout limits the time to read a request with its body.
	requestReadTimeout = 15 * time.Second
	// responseWriteTimeout is the HTTP server's WriteTimeout.
	responseWriteTimeout = 30 * time.Second
)

// operators serves the operators' API and the admin port.
type operators struct {
	settings     settings.Agent
	hub          *Hub
	distribution *distribution.Runner
	fleet        *fleet
	caller       peer.Caller
	log          *timeline.Log
}

func newOperators(cfg settings.Agent, h *Hub, d *distribution.Runner, f *fleet, c peer.Caller, l *timeline.Log) *operators {
	return &operators{settings: cfg, hub: h, distribution: d, fleet: f, caller: c, log: l}
}

// server returns the HTTPS server of the operators' API. It accepts only client
// certificates of the operator role.
func (o *operators) server(keys *pki.Store) *http.Server {
	r := chi.NewRouter()
	r.Use(middleware.Recoverer, middleware.Throttle(maxConcurrentRequests))
	r.Get(operator.PathDocument, o.getDocument)
	r.Put(operator.PathDocument, o.putDocument)
	r.Get(operator.PathStatus, o.getStatus)
	r.Get(operator.PathTimeline, o.getTimeline)
	r.Post(operator.PathDrain, o.postDrain)
	return &http.Server{
		Handler:           r,
		TLSConfig:         keys.Server(pki.RoleOperator),
		ReadHeaderTimeout: headerTimeout,
		ReadTimeout:       requestReadTimeout,
		WriteTimeout:      responseWriteTimeout,
	}
}

// adminServer returns the HTTP server for metrics and health checks.
func (o *operators) adminServer(cut *peer.SimulatedPartition) *http.Server {
	r := chi.NewRouter()
	r.Handle("/metrics", promhttp.Handler())
	r.Get("/healthz", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusOK) })
	r.Get("/readyz", func(w http.ResponseWriter, _ *http.Request) {
		if o.distribution.Current().Generation == 0 {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
	})
	if cut != nil {
		r.Handle("/cut", cut)
	}
	return &http.Server{Handler: r, ReadHeaderTimeout: headerTimeout}
}

func (o *operators) getDocument(w http.ResponseWriter, _ *http.Request) {
	d := o.distribution.Current()
	if d.Generation == 0 {
		writeError(w, result.New(result.NotReady, "this VM has no document in force yet"), 0)
		return
	}
	w.Header().Set(operator.HeaderGeneration, strconv.FormatUint(d.Generation, 10))
	w.Header().Set("Content-Type", operator.ContentYAML)
	_, _ = w.Write(d.Text)
}

func (o *operators) putDocument(w http.ResponseWriter, r *http.Request) {
	text, err := io.ReadAll(http.MaxBytesReader(w, r.Body, document.MaxBytes))
	if err != nil {
		writeError(w, result.New(result.BodyTooLarge, "reading the document failed: %v", err), 0)
		return
	}
	base, err := queryUint(r, operator.QueryBase)
	if err != nil {
		writeError(w, err, 0)
		return
	}
	out := o.distribution.Submit(r.Context(), text, base)
	if out.Err != nil {
		writeError(w, out.Err, out.Generation)
		return
	}
	writeJSON(w, operator.SubmitResponse{Generation: out.Generation, Digest: out.Digest})
}

// queryUint returns an optional integer from the query string; 0 if absent.
func queryUint(r *http.Request, key string) (uint64, error) {
	text := r.URL.Query().Get(key)
	if text == "" {
		return 0, nil
	}
	n, err := strconv.ParseUint(text, 10, 63)
	if err != nil {
		return 0, result.New(result.BadRequest, "%s: %q is not a non-negative integer", key, text)
	}
	return n, nil
}

func (o *operators) postDrain(w http.ResponseWriter, r *http.Request) {
	var in operator.DrainRequest
	d := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxDrainBody))
	if err := d.Decode(&in); err != nil {
		writeError(w, result.New(result.BadRequest, "drain: %v", err), 0)
		return
	}
	if err := o.drain(r.Context(), in.VM); err != nil {
		writeError(w, err, 0)
		return
	}
	writeJSON(w, operator.DrainResponse{VM: in.VM})
}

func (o *operators) drain(ctx context.Context, vm string) error {
	for _, m := range o.hub.View().Members {
		if m.VM != vm || m.Status == membership.Dead {
			continue
		}
		ctx, cancel := context.WithTimeout(ctx, drainTimeout)
		defer cancel()
		return o.caller.Call(ctx, m.Agent, control.Drain, control.DrainRequest{}, nil)
	}
	return result.New(result.BadRequest, "no live VM is named %q", vm)
}

func writeJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	if err := json.NewEncoder(w).Encode(v); err != nil && !errors.Is(err, http.ErrHandlerTimeout) {
		klog.V(1).Infof("agent: Sending a response failed: %v.", err)
	}
}

// writeError responds with the error's code. In a conflict, generation is that
// of the document that was accepted instead.
func writeError(w http.ResponseWriter, err error, generation uint64) {
	out := operator.NewErrorResponse(err)
	out.Generation = generation
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(out.Code.Info().HTTPStatus)
	_ = json.NewEncoder(w).Encode(out)
}
