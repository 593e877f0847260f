package faults

import (
	"context"
	"encoding/json"
	"errors"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/go-chi/chi/v5"
	"github.com/gravitational/trace"
	"k8s.io/klog/v2"

	"github.com/cranberrypier/cranberrypier/internal/ctxwait"
	"github.com/cranberrypier/cranberrypier/internal/fake/executions"
	"github.com/cranberrypier/cranberrypier/internal/result"
	"github.com/cranberrypier/cranberrypier/internal/wire"
)

const (
	// maxFaultsBodyBytes bounds the body of PUT /faults.
	maxFaultsBodyBytes = 64 << 10
	// readHeaderTimeout is the timeout for reading the headers of a request.
	readHeaderTimeout = 10 * time.Second
)

// errConnectionBroken is the cancellation cause of a request whose connection a
// fault switch breaks.
var errConnectionBroken = errors.New("connection broken by a fault switch")

// Server is the HTTP server of one stand-in. Faults apply to its work routes and
// not to its control routes.
type Server struct {
	Name     string
	Switches *Switches
	Log      *executions.Log

	mux      *chi.Mux
	http     http.Server
	listener net.Listener

	mu    sync.Mutex
	conns map[net.Conn]struct{}
	calls map[*call]struct{}
}

// call is a call of a work route in progress.
type call struct {
	vm, zone string
	cancel   context.CancelCauseFunc
}

// NewServer returns a server with the control routes /faults, /executions and
// /counters. The response of /counters is the JSON encoding of what counters
// returns.
func NewServer(name string, counters func() any) *Server {
	s := &Server{
		Name:     name,
		Switches: &Switches{},
		Log:      executions.New(name),
		mux:      chi.NewRouter(),
		conns:    map[net.Conn]struct{}{},
		calls:    map[*call]struct{}{},
	}
	s.mux.Get("/faults", func(w http.ResponseWriter, _ *http.Request) { WriteJSON(w, http.StatusOK, s.Switches.Get()) })
	s.mux.Put("/faults", s.putFaults)
	s.mux.Get("/executions", s.Log.ServeHTTP)
	s.mux.Get("/counters", func(w http.ResponseWriter, _ *http.Request) { WriteJSON(w, http.StatusOK, counters()) })
	s.http = http.Server{Handler: s.mux, ReadHeaderTimeout: readHeaderTimeout, ConnState: s.trackConn, ConnContext: contextWithConn}
	s.Switches.OnSet(s.cancelBrokenCalls)
	return s
}

// ControlRouter returns the router for control routes, to which no fault applies.
func (s *Server) ControlRouter() chi.Router { return s.mux }

// WorkRouter returns the router for work routes, to which the faults apply.
func (s *Server) WorkRouter() chi.Router { return s.mux.With(s.applyFaults) }

// Start listens on the address and serves in the background.
func (s *Server) Start(address string) error {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return trace.Wrap(result.New(result.AddressInUse, "%s: %v", s.Name, err))
	}
	s.listener = l
	klog.Infof("fake: %s is listening on %s", s.Name, l.Addr())
	go func() {
		if err := s.http.Serve(l); !errors.Is(err, http.ErrServerClosed) {
			klog.Errorf("fake: %s: HTTP server failed: %v", s.Name, err)
		}
	}()
	return nil
}

// Address returns the listening address as IP:port.
func (s *Server) Address() string { return s.listener.Addr().String() }

// Close stops the server and breaks its connections.
func (s *Server) Close() error { return trace.Wrap(s.http.Close()) }

// ResetConnections sends a TCP reset on all connections, as a crashing process does.
func (s *Server) ResetConnections() {
	s.mu.Lock()
	conns := make([]net.Conn, 0, len(s.conns))
	for c := range s.conns {
		conns = append(conns, c)
	}
	s.mu.Unlock()
	for _, c := range conns {
		if t, ok := c.(*net.TCPConn); ok {
			_ = t.SetLinger(0)
		}
		_ = c.Close()
	}
}

func (s *Server) trackConn(c net.Conn, state http.ConnState) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if state == http.StateClosed || state == http.StateHijacked {
		delete(s.conns, c)
		return
	}
	s.conns[c] = struct{}{}
}

// connKey is the context key for the connection of a request.
type connKey struct{}

func contextWithConn(ctx context.Context, c net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, c)
}

// excludeFromReset keeps ResetConnections from breaking the connection of a
// control request, because that request may cause the reset.
func (s *Server) excludeFromReset(r *http.Request) {
	c, _ := r.Context().Value(connKey{}).(net.Conn)
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.conns, c)
}

func (s *Server) putFaults(w http.ResponseWriter, r *http.Request) {
	s.excludeFromReset(r)
	dec := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxFaultsBodyBytes))
	dec.DisallowUnknownFields()
	var f Faults
	if err := dec.Decode(&f); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	klog.Infof("fake: %s: faults replaced: %+v", s.Name, f)
	s.Switches.Set(f)
	w.WriteHeader(http.StatusNoContent)
}

// applyFaults is the middleware of work routes for Down, CutFrom, CutSilent and
// SlowMS. The handlers apply the other faults.
func (s *Server) applyFaults(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		ctx, cancel := context.WithCancelCause(r.Context())
		c := &call{vm: r.Header.Get(wire.HeaderSenderVM), zone: r.Header.Get(wire.HeaderSenderZone), cancel: cancel}
		s.mu.Lock()
		s.calls[c] = struct{}{}
		s.mu.Unlock()
		defer func() {
			s.mu.Lock()
			delete(s.calls, c)
			s.mu.Unlock()
			cancel(nil)
		}()
		f := s.Switches.Get()
		if f.breaksCall(c) {
			s.abortCall(r.Context(), f, c)
		}
		ctxwait.For(ctx, time.Duration(f.SlowMS)*time.Millisecond)
		next.ServeHTTP(w, r.WithContext(ctx))
		if errors.Is(context.Cause(ctx), errConnectionBroken) {
			s.abortCall(r.Context(), s.Switches.Get(), c)
		}
	})
}

func (f *Faults) breaksCall(c *call) bool { return f.Down || f.IsPartitioned(c.vm, c.zone) }

// abortCall ends a call without an answer. With CutSilent it first waits until
// the client cancels the call.
func (s *Server) abortCall(ctx context.Context, f Faults, c *call) {
	if !f.Down && f.CutSilent && f.IsPartitioned(c.vm, c.zone) {
		<-ctx.Done()
	}
	panic(http.ErrAbortHandler)
}

// cancelBrokenCalls cancels calls in progress that new faults break.
func (s *Server) cancelBrokenCalls(f Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.calls {
		if f.breaksCall(c) {
			c.cancel(errConnectionBroken)
		}
	}
}

// WriteJSON writes the status and v as a JSON body.
func WriteJSON(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(v)
}
