// Package plainservice is a stand-in for a plain service such as an order book.
// GET and HEAD are lookups. All other calls are writes and are recorded with
// their claim keys.
package plainservice

import (
	"fmt"
	"io"
	"net/http"
	"sync"
	"time"

	"github.com/cranberrypier/cranberrypier/internal/document"
	"github.com/cranberrypier/cranberrypier/internal/fake/executions"
	"github.com/cranberrypier/cranberrypier/internal/fake/faults"
	"github.com/cranberrypier/cranberrypier/internal/wire"
)

// maxBodyBytes bounds the body of a request.
const maxBodyBytes = 1 << 20

// Settings configures one service.
type Settings struct {
	// LookupTime and WriteTime are the processing times of calls.
	LookupTime document.Duration `yaml:"lookup_time"`
	WriteTime  document.Duration `yaml:"write_time"`
}

// Counters is the body of GET /counters.
type Counters struct {
	Lookups int `json:"lookups"`
	Writes  int `json:"writes"`
	// Repeated counts writes whose claim key (the digest of an idempotency key)
	// an earlier write already had.
	Repeated      int `json:"repeated"`
	MaxConcurrent int `json:"max_concurrent"`
}

// Service is the stand-in for a plain service.
type Service struct {
	Server   *faults.Server
	settings Settings
	// incarnation changes with each start of the service.
	incarnation string

	mu               sync.Mutex
	counters         Counters
	inFlight         int
	writesByClaimKey map[string]int
	lastRequestID    string
}

// Reply is the body of all answers.
type Reply struct {
	Service string `json:"service"`
	Call    string `json:"call"`
	// Record is the number of the write, starting at 1. It is 0 for lookups.
	Record  int    `json:"record,omitempty"`
	Request string `json:"request"`
}

// New returns a service whose server is not started.
func New(name string, settings Settings) *Service {
	s := &Service{settings: settings, writesByClaimKey: map[string]int{}, incarnation: fmt.Sprintf("%s-%d", name, time.Now().UnixMilli())}
	s.Server = faults.NewServer(name, func() any { return s.Counters() })
	w := s.Server.WorkRouter()
	w.Get("/v1/load", s.load)
	w.HandleFunc("/*", s.call)
	return s
}

// load sends the current load of the service. It is not counted as a call.
func (s *Service) load(w http.ResponseWriter, _ *http.Request) {
	s.mu.Lock()
	inFlight := s.inFlight
	s.mu.Unlock()
	faults.WriteJSON(w, http.StatusOK, wire.LoadBody{
		Incarnation: s.incarnation, State: wire.EngineWarm, Running: inFlight, TakenAtMS: time.Now().UnixMilli(),
	})
}

// Counters returns the current counters of the service.
func (s *Service) Counters() Counters {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.counters
}

func (s *Service) call(w http.ResponseWriter, r *http.Request) {
	if _, err := io.Copy(io.Discard, http.MaxBytesReader(w, r.Body, maxBodyBytes)); err != nil {
		http.Error(w, "body too large", http.StatusRequestEntityTooLarge)
		return
	}
	isRead := r.Method == http.MethodGet || r.Method == http.MethodHead
	name := r.Method + " " + r.URL.Path
	id := r.Header.Get(wire.HeaderRequestID)
	claimKey := r.Header.Get(wire.HeaderClaimKey)
	inFlight, record, previousID := s.beginCall(isRead, claimKey, id)
	defer s.endCall()
	seq := s.Server.Log.Start(executions.Execution{
		Request: id, ClaimKey: claimKey, Target: name, VM: r.Header.Get(wire.HeaderSenderVM),
		Ran: true, Write: !isRead, Concurrent: inFlight,
	})
	duration := s.settings.WriteTime.D()
	if isRead {
		duration = s.settings.LookupTime.D()
	}
	if rule := s.Server.Switches.Select(faults.Late, name); rule != nil {
		duration += rule.Delay()
	}
	time.Sleep(duration)
	if s.Server.Switches.Select(faults.LostAnswer, name) != nil {
		s.Server.Log.End(seq, executions.LostAnswer, 0)
		panic(http.ErrAbortHandler)
	}
	if s.Server.Switches.Select(faults.Silent, name) != nil {
		s.Server.Log.End(seq, executions.Silent, 0)
		<-r.Context().Done()
		panic(http.ErrAbortHandler)
	}
	outcome := executions.Done
	if s.Server.Switches.Select(faults.Crossed, name) != nil {
		outcome = executions.Crossed
		if previousID == id {
			previousID = "crossed-" + id
		}
		id = previousID
	}
	w.Header().Set(wire.HeaderRequestID, id)
	if s.Server.Switches.Select(faults.Cut, name) != nil {
		s.Server.Log.End(seq, executions.Cut, 0)
		w.Header().Set("Content-Length", "1000")
		_, _ = io.WriteString(w, "{")
		_ = http.NewResponseController(w).Flush()
		panic(http.ErrAbortHandler)
	}
	s.Server.Log.End(seq, outcome, 0)
	faults.WriteJSON(w, http.StatusOK, Reply{Service: s.Server.Name, Call: name, Record: record, Request: id})
}

// beginCall counts a call. It returns the number of calls in flight, the number
// of the write, and the id of the previous request or a generated one if there
// is none.
func (s *Service) beginCall(isRead bool, claimKey, id string) (inFlight, record int, previousID string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.inFlight++
	s.counters.MaxConcurrent = max(s.counters.MaxConcurrent, s.inFlight)
	previousID, s.lastRequestID = s.lastRequestID, id
	if previousID == "" {
		previousID = "crossed-" + id
	}
	if isRead {
		s.counters.Lookups++
		return s.inFlight, 0, previousID
	}
	s.counters.Writes++
	if claimKey != "" {
		s.writesByClaimKey[claimKey]++
		if s.writesByClaimKey[claimKey] > 1 {
			s.counters.Repeated++
		}
	}
	return s.inFlight, s.counters.Writes, previousID
}

func (s *Service) endCall() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.inFlight--
}
