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

	"github.com/cranberrypier/cranberrypier/internal/fake/executions"
	"github.com/cranberrypier/cranberrypier/internal/pause"
	"github.com/cranberrypier/cranberrypier/internal/result"
	"github.com/cranberrypier/cranberrypier/internal/wire"
)

const (
	// maxFaultBody bounds the body of PUT /faults, in bytes.
	maxFaultBody = 64 << 10
	// headerTimeout bounds the time in which a request's headers arrive.
	headerTimeout = 10 * time.Second
)

// errBroken is the cause of a request whose connection a switch broke.
var errBroken = errors.New("broken by a fault switch")

// Server is the HTTP server of one stand-in: its control routes, which no
// fault touches, and its work routes, to which the faults apply.
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

// call is a work call in progress.
type call struct {
	vm, zone string
	cancel   context.CancelCauseFunc
}

// NewServer returns a server with the control routes /faults, /executions and
// /counters; counters returns the value to encode for the last.
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
	s.http = http.Server{Handler: s.mux, ReadHeaderTimeout: headerTimeout, ConnState: s.track, ConnContext: keepConn}
	s.Switches.OnSet(s.breakCalls)
	return s
}

// Control returns the router of routes that no fault touches.
func (s *Server) ControlRouter() chi.Router { return s.mux }

// Work returns the router of routes to which the faults apply.
func (s *Server) WorkRouter() chi.Router { return s.mux.With(s.apply) }

// Start listens on the address and serves in the background.
func (s *Server) Start(address string) error {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return trace.Wrap(result.New(result.AddressInUse, "%s: %v", s.Name, err))
	}
	s.listener = l
	klog.Infof("fake: %s listens on %s", s.Name, l.Addr())
	go func() {
		if err := s.http.Serve(l); !errors.Is(err, http.ErrServerClosed) {
			klog.Errorf("fake: %s stopped: %v", s.Name, err)
		}
	}()
	return nil
}

// Address returns the address listened on, as IP:port.
func (s *Server) Address() string { return s.listener.Addr().String() }

// Close stops the server and breaks its connections.
func (s *Server) Close() error { return trace.Wrap(s.http.Close()) }

// Reset breaks all connections at once, as a crash does.
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

func (s *Server) track(c net.Conn, state http.ConnState) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if state == http.StateClosed || state == http.StateHijacked {
		delete(s.conns, c)
		return
	}
	s.conns[c] = struct{}{}
}

// connKey is the key of a request's connection in its context.
type connKey struct{}

func keepConn(ctx context.Context, c net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, c)
}

// spare keeps a control connection out of Reset.
func (s *Server) spare(r *http.Request) {
	c, _ := r.Context().Value(connKey{}).(net.Conn)
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.conns, c)
}

func (s *Server) putFaults(w http.ResponseWriter, r *http.Request) {
	s.spare(r)
	dec := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxFaultBody))
	dec.DisallowUnknownFields()
	var f Faults
	if err := dec.Decode(&f); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	klog.Infof("fake: %s has new faults: %+v", s.Name, f)
	s.Switches.Set(f)
	w.WriteHeader(http.StatusNoContent)
}

// apply is the middleware of work routes: down, partition and slowness.
func (s *Server) apply(next http.Handler) http.Handler {
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
		if f.breaks(c) {
			s.breakOff(r.Context(), f, c)
		}
		pause.For(ctx, time.Duration(f.SlowMS)*time.Millisecond)
		next.ServeHTTP(w, r.WithContext(ctx))
		if errors.Is(context.Cause(ctx), errBroken) {
			s.breakOff(r.Context(), s.Switches.Get(), c)
		}
	})
}

func (f *Faults) breaks(c *call) bool { return f.Down || f.IsPartitioned(c.vm, c.zone) }

// breakOff ends a call without an answer. A silent partition holds it until
// the caller gives up.
func (s *Server) breakOff(ctx context.Context, f Faults, c *call) {
	if !f.Down && f.CutSilent && f.IsPartitioned(c.vm, c.zone) {
		<-ctx.Done()
	}
	panic(http.ErrAbortHandler)
}

// breakCalls applies new faults to calls in progress.
func (s *Server) breakCalls(f Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.calls {
		if f.breaks(c) {
			c.cancel(errBroken)
		}
	}
}

// WriteJSON writes v with the status.
func WriteJSON(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(v)
}
