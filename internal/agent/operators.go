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
	// concurrentOperators bounds operators' requests in progress.
	concurrentOperators = 32
	// maxDrainBody is the longest drain request, in bytes.
	maxDrainBody = 4 << 10
	// drainTimeout bounds the message to the draining VM's agent.
	drainTimeout = 3 * time.Second
	// bodyTime bounds a whole request's arrival.
	bodyTime = 15 * time.Second
	// answerTime bounds a whole answer.
	answerTime = 30 * time.Second
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

// server returns the HTTPS server; only certificates of the operator role are
// accepted.
func (o *operators) server(keys *pki.Store) *http.Server {
	r := chi.NewRouter()
	r.Use(middleware.Recoverer, middleware.Throttle(concurrentOperators))
	r.Get(operator.PathDocument, o.getDocument)
	r.Put(operator.PathDocument, o.putDocument)
	r.Get(operator.PathStatus, o.getStatus)
	r.Get(operator.PathTimeline, o.getTimeline)
	r.Post(operator.PathDrain, o.postDrain)
	return &http.Server{
		Handler:           r,
		TLSConfig:         keys.Server(pki.RoleOperator),
		ReadHeaderTimeout: headerTime,
		ReadTimeout:       bodyTime,
		WriteTimeout:      answerTime,
	}
}

// admin returns the server of metrics and health.
func (o *operators) admin(cut *peer.Cut) *http.Server {
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
	return &http.Server{Handler: r, ReadHeaderTimeout: headerTime}
}

func (o *operators) getDocument(w http.ResponseWriter, _ *http.Request) {
	d := o.distribution.Current()
	if d.Generation == 0 {
		refuse(w, result.New(result.NotReady, "no document is in force here"), 0)
		return
	}
	w.Header().Set(operator.HeaderGeneration, strconv.FormatUint(d.Generation, 10))
	w.Header().Set("Content-Type", operator.ContentYAML)
	_, _ = w.Write(d.Text)
}

func (o *operators) putDocument(w http.ResponseWriter, r *http.Request) {
	text, err := io.ReadAll(http.MaxBytesReader(w, r.Body, document.MaxBytes))
	if err != nil {
		refuse(w, result.New(result.BodyTooLarge, "the document could not be read: %v", err), 0)
		return
	}
	base, err := number(r, operator.QueryBase)
	if err != nil {
		refuse(w, err, 0)
		return
	}
	out := o.distribution.Submit(r.Context(), text, base)
	if out.Err != nil {
		refuse(w, out.Err, out.Generation)
		return
	}
	answer(w, operator.SubmitResponse{Generation: out.Generation, Digest: out.Digest})
}

// number reads an optional whole number from the query.
func number(r *http.Request, key string) (uint64, error) {
	text := r.URL.Query().Get(key)
	if text == "" {
		return 0, nil
	}
	n, err := strconv.ParseUint(text, 10, 63)
	if err != nil {
		return 0, result.New(result.BadRequest, "%s: %q is no whole number", key, text)
	}
	return n, nil
}

func (o *operators) postDrain(w http.ResponseWriter, r *http.Request) {
	var in operator.DrainRequest
	d := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxDrainBody))
	if err := d.Decode(&in); err != nil {
		refuse(w, result.New(result.BadRequest, "drain: %v", err), 0)
		return
	}
	if err := o.drain(r.Context(), in.VM); err != nil {
		refuse(w, err, 0)
		return
	}
	answer(w, operator.DrainResponse{VM: in.VM})
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

func answer(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	if err := json.NewEncoder(w).Encode(v); err != nil && !errors.Is(err, http.ErrHandlerTimeout) {
		klog.V(1).Infof("agent: An answer was not sent: %v.", err)
	}
}

// refuse answers with the error's code; generation is the winner's in a
// conflict.
func refuse(w http.ResponseWriter, err error, generation uint64) {
	out := operator.NewErrorResponse(err)
	out.Generation = generation
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(out.Code.Info().HTTPStatus)
	_ = json.NewEncoder(w).Encode(out)
}
