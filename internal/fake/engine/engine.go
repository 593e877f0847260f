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

// maxBody bounds a request's body, in bytes.
const maxBody = 8 << 20

// Engine is the stand-in.
type Engine struct {
	Server *faults.Server

	set   Settings
	state *state

	// last is the newest answer, which crossed answers hand out.
	lastMu sync.Mutex
	last   crossed
}

// crossed is another request's answer.
type crossed struct {
	request string
	answer  Answer
}

// New returns an engine that does not listen yet.
func New(name string, set Settings) *Engine {
	set = set.withDefaults()
	e := &Engine{set: set, state: newState(name, set, time.Now())}
	e.Server = faults.NewServer(name, func() any { return e.state.report(time.Now()) })
	e.Server.ControlRouter().Get("/metrics-log", e.Server.Log.ServeHTTP)
	e.Server.ControlRouter().Get("/settings", func(w http.ResponseWriter, _ *http.Request) { faults.WriteJSON(w, http.StatusOK, set) })
	w := e.Server.WorkRouter()
	w.Post("/v1/chat/completions", e.chat)
	w.Get("/v1/load", e.load)
	w.Get("/v1/cache-events", e.cacheEvents)
	w.Post("/v1/orders", e.order)
	w.Post("/v1/kv/export", e.export)
	w.Post("/v1/kv/import", e.importKV)
	e.Server.Switches.OnSet(e.react)
	return e
}

// Counters returns the engine's counters.
func (e *Engine) Counters() Counters { return e.state.report(time.Now()) }

// react applies new fault switches.
func (e *Engine) react(f faults.Faults) {
	e.state.setLeaving(f.Leaving, time.Now())
	switch {
	case f.Cold && f.Restart:
		e.crash("")
	case f.Cold:
		e.state.turnCold(time.Now())
	}
}

// crash breaks every connection and restarts cold.
func (e *Engine) crash(incarnation string) {
	if e.state.crash(incarnation, time.Now()) {
		e.Server.ResetConnections()
	}
}

func (e *Engine) load(w http.ResponseWriter, _ *http.Request) {
	faults.WriteJSON(w, http.StatusOK, e.state.load(time.Now()))
}

func (e *Engine) cacheEvents(w http.ResponseWriter, r *http.Request) {
	after, _ := strconv.ParseUint(r.URL.Query().Get("after"), 10, 64)
	faults.WriteJSON(w, http.StatusOK, e.state.cacheEvents(after, time.Now()))
}

func (e *Engine) order(w http.ResponseWriter, r *http.Request) {
	var o wire.OrderBody
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxBody)).Decode(&o); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	seq := e.Server.Log.Start(executions.Execution{Target: "order " + o.Op + " " + o.Version, VM: r.Header.Get(wire.HeaderSenderVM), Ran: true})
	if !e.state.order(o, e.Server.Switches.Get().IgnoreFencing, time.Now()) {
		e.Server.Log.End(seq, executions.Refused, 0)
		http.Error(w, "old fencing number", http.StatusConflict)
		return
	}
	e.Server.Log.End(seq, executions.Done, 0)
	if e.Server.Switches.Select(faults.LostAnswer, r.Method+" "+r.URL.Path) != nil {
		panic(http.ErrAbortHandler)
	}
	w.WriteHeader(http.StatusOK)
}

// export hands out the key-value cache of a request: here its id only.
func (e *Engine) export(w http.ResponseWriter, r *http.Request) {
	_, _ = io.WriteString(w, r.URL.Query().Get("request_id"))
}

func (e *Engine) importKV(w http.ResponseWriter, r *http.Request) {
	_, _ = io.Copy(io.Discard, http.MaxBytesReader(w, r.Body, maxBody))
	w.WriteHeader(http.StatusNoContent)
}

// swapLast keeps an answer as the newest and returns the one before it.
func (e *Engine) swapLast(c crossed) crossed {
	e.lastMu.Lock()
	defer e.lastMu.Unlock()
	before := e.last
	e.last = c
	return before
}
