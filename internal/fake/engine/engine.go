package engine

import (
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/cranberrypier/cranberrypier/internal/fake/executions"
	"github.com/cranberrypier/cranberrypier/internal/fake/faults"
	"github.com/cranberrypier/cranberrypier/internal/wire"
)

// maxBodyBytes bounds the body of a request.
const maxBodyBytes = 8 << 20

// Engine is the stand-in for one model engine.
type Engine struct {
	Server *faults.Server

	settings Settings
	state    *state

	// lastAnswer is the answer to the most recent request. The Crossed fault
	// sends it in response to another request.
	lastAnswerMu sync.Mutex
	lastAnswer   requestAnswer
}

// requestAnswer is the answer to one request.
type requestAnswer struct {
	requestID string
	answer    Answer
}

// New returns an engine whose server is not started.
func New(name string, settings Settings) *Engine {
	settings = settings.withDefaults()
	e := &Engine{settings: settings, state: newState(name, settings, time.Now())}
	e.Server = faults.NewServer(name, func() any { return e.state.currentCounters(time.Now()) })
	// /metrics-log serves the same log as /executions.
	e.Server.ControlRouter().Get("/metrics-log", e.Server.Log.ServeHTTP)
	e.Server.ControlRouter().Get("/settings", func(w http.ResponseWriter, _ *http.Request) { faults.WriteJSON(w, http.StatusOK, settings) })
	w := e.Server.WorkRouter()
	w.Post("/v1/chat/completions", e.chat)
	w.Get("/v1/load", e.load)
	w.Get("/v1/cache-events", e.cacheEvents)
	w.Post("/v1/orders", e.order)
	w.Post("/v1/kv/export", e.exportKV)
	w.Post("/v1/kv/import", e.importKV)
	e.Server.Switches.OnSet(e.applyFaults)
	return e
}

// Counters returns the current counters of the engine.
func (e *Engine) Counters() Counters { return e.state.currentCounters(time.Now()) }

// applyFaults applies the switches that change the state of the engine.
func (e *Engine) applyFaults(f faults.Faults) {
	e.state.setLeaving(f.Leaving, time.Now())
	switch {
	case f.Cold && f.Restart:
		e.crash("")
	case f.Cold:
		e.state.beginColdStart(time.Now())
	}
}

// crash resets all connections and restarts the engine cold. A non-empty
// incarnation restricts the crash to that incarnation.
func (e *Engine) crash(incarnation string) {
	if e.state.crash(incarnation, time.Now()) {
		e.Server.ResetConnections()
	}
}

func (e *Engine) load(w http.ResponseWriter, _ *http.Request) {
	faults.WriteJSON(w, http.StatusOK, e.state.loadReport(time.Now()))
}

func (e *Engine) cacheEvents(w http.ResponseWriter, r *http.Request) {
	after, _ := strconv.ParseUint(r.URL.Query().Get("after"), 10, 64)
	faults.WriteJSON(w, http.StatusOK, e.state.cacheEvents(after, time.Now()))
}

func (e *Engine) order(w http.ResponseWriter, r *http.Request) {
	var o wire.OrderBody
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxBodyBytes)).Decode(&o); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	seq := e.Server.Log.Start(executions.Execution{Target: "order " + o.Op + " " + o.Version, VM: r.Header.Get(wire.HeaderSenderVM), Ran: true})
	if !e.state.applyOrder(o, e.Server.Switches.Get().IgnoreFencing, time.Now()) {
		e.Server.Log.End(seq, executions.Rejected, 0)
		http.Error(w, "old fencing number", http.StatusConflict)
		return
	}
	e.Server.Log.End(seq, executions.Done, 0)
	if e.Server.Switches.Select(faults.LostAnswer, r.Method+" "+r.URL.Path) != nil {
		panic(http.ErrAbortHandler)
	}
	w.WriteHeader(http.StatusOK)
}

// exportKV sends the exported key-value cache of a request. The stand-in has no
// such cache and sends only the id of the request.
func (e *Engine) exportKV(w http.ResponseWriter, r *http.Request) {
	_, _ = io.WriteString(w, r.URL.Query().Get("request_id"))
}

func (e *Engine) importKV(w http.ResponseWriter, r *http.Request) {
	_, _ = io.Copy(io.Discard, http.MaxBytesReader(w, r.Body, maxBodyBytes))
	w.WriteHeader(http.StatusNoContent)
}

// swapLastAnswer stores the most recent answer and returns the previous one.
func (e *Engine) swapLastAnswer(next requestAnswer) requestAnswer {
	e.lastAnswerMu.Lock()
	defer e.lastAnswerMu.Unlock()
	previous := e.lastAnswer
	e.lastAnswer = next
	return previous
}
