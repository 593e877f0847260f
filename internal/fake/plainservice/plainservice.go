// Package plainservice is the stand-in of a plain service such as an order
// book: reads are lookups, and every other call is recorded with its claim key.
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

// maxBody bounds a request's body, in bytes.
const maxBody = 1 << 20

// Settings of one service.
type Settings struct {
	// LookupTime and WriteTime are how long calls take.
	LookupTime document.Duration `yaml:"lookup_time"`
	WriteTime  document.Duration `yaml:"write_time"`
}

// Counters is the body of GET /counters.
type Counters struct {
	Lookups int `json:"lookups"`
	Writes  int `json:"writes"`
	// Repeated counts writes whose claim key had been written before.
	Repeated      int `json:"repeated"`
	MaxConcurrent int `json:"max_concurrent"`
}

// Service is the stand-in.
type Service struct {
	Server *faults.Server
	set    Settings
	// incarnation changes with each start.
	incarnation string

	mu       sync.Mutex
	counters Counters
	present  int
	keys     map[string]int
	last     string
}

// Reply is the body of every answer.
type Reply struct {
	Service string `json:"service"`
	Call    string `json:"call"`
	// Record is the number of the write; 0 for lookups.
	Record  int    `json:"record,omitempty"`
	Request string `json:"request"`
}

// New returns a service that does not listen yet.
func New(name string, set Settings) *Service {
	s := &Service{set: set, keys: map[string]int{}, incarnation: fmt.Sprintf("%s-%d", name, time.Now().UnixMilli())}
	s.Server = faults.NewServer(name, func() any { return s.Counters() })
	w := s.Server.WorkRouter()
	w.Get("/v1/load", s.load)
	w.HandleFunc("/*", s.call)
	return s
}

// load reports the service's load without a lag; it is no work.
func (s *Service) load(w http.ResponseWriter, _ *http.Request) {
	s.mu.Lock()
	present := s.present
	s.mu.Unlock()
	faults.WriteJSON(w, http.StatusOK, wire.LoadBody{
		Incarnation: s.incarnation, State: wire.EngineWarm, Running: present, TakenAtMS: time.Now().UnixMilli(),
	})
}

// Counters returns the service's counters.
func (s *Service) Counters() Counters {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.counters
}

func (s *Service) call(w http.ResponseWriter, r *http.Request) {
	if _, err := io.Copy(io.Discard, http.MaxBytesReader(w, r.Body, maxBody)); err != nil {
		http.Error(w, "body too large", http.StatusRequestEntityTooLarge)
		return
	}
	reads := r.Method == http.MethodGet || r.Method == http.MethodHead
	name := r.Method + " " + r.URL.Path
	id := r.Header.Get(wire.HeaderRequestID)
	claim := r.Header.Get(wire.HeaderClaimKey)
	present, record, other := s.begin(reads, claim, id)
	defer s.end()
	seq := s.Server.Log.Start(executions.Execution{
		Request: id, ClaimKey: claim, Target: name, VM: r.Header.Get(wire.HeaderSenderVM),
		Ran: true, Write: !reads, Concurrent: present,
	})
	took := s.set.WriteTime.D()
	if reads {
		took = s.set.LookupTime.D()
	}
	if rule := s.Server.Switches.Select(faults.Late, name); rule != nil {
		took += rule.Delay()
	}
	time.Sleep(took)
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
		if other == id {
			other = "crossed-" + id
		}
		id = other
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

// begin counts a call and returns the work present, the number of its record
// and the request before it.
func (s *Service) begin(reads bool, claim, id string) (present, record int, other string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.present++
	s.counters.MaxConcurrent = max(s.counters.MaxConcurrent, s.present)
	other, s.last = s.last, id
	if other == "" {
		other = "crossed-" + id
	}
	if reads {
		s.counters.Lookups++
		return s.present, 0, other
	}
	s.counters.Writes++
	if claim != "" {
		s.keys[claim]++
		if s.keys[claim] > 1 {
			s.counters.Repeated++
		}
	}
	return s.present, s.counters.Writes, other
}

func (s *Service) end() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.present--
}
