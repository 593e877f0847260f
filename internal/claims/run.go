package claims

import (
	"context"
	"sync"
	"time"

	"github.com/gravitational/trace"
	"github.com/prometheus/client_golang/prometheus"

	"github.com/cranberrypier/cranberrypier/internal/membership"
	"github.com/cranberrypier/cranberrypier/internal/peer"
	"github.com/cranberrypier/cranberrypier/internal/platform"
	"github.com/cranberrypier/cranberrypier/internal/result"
	"github.com/cranberrypier/cranberrypier/internal/timeline"
)

// Config holds what the service needs to know about its process.
type Config struct {
	// VM is this VM's name, at most 64 bytes.
	VM string
	// Incarnation changes on each start of the process and is never reused.
	Incarnation uint64
	// Secret signs run tickets; the same on every VM of the fleet.
	Secret []byte
	// Limits are bounds; zero values have defaults.
	Limits Limits
	// StoreTimeout bounds one store call. Default 1s.
	StoreTimeout time.Duration
	// PutTimeout bounds the wait for the home VM. Default 700ms.
	PutTimeout time.Duration
	// Deadline is for requests without one. Default 60s.
	DefaultDeadline time.Duration
	// Seen, if set, watches every message and action, for tests.
	OnStep func(Message, []Action)
}

// Message types between routers.
const (
	putType  peer.Type = "claims.put"
	joinType peer.Type = "claims.join"
)

// inbox is the number of messages that may wait for the core. Do waits for room
// until its context ends; answers of the store and peers wait until the service
// stops.
const inbox = 1024

// Service makes keyed work run at most once over the fleet.
type Service struct {
	cfg     Config
	store   platform.Store
	caller  peer.Caller
	rec     timeline.Recorder
	metrics *metrics
	in      chan envelope
	stopped chan struct{}

	// Owned by the goroutine of Run.
	core     *Core
	arrivals ArrivalID
	pending  map[ArrivalID]*arrival
	inCalls  uint64
	puts     map[uint64]chan PutAnswer
	joins    map[uint64]chan JoinAnswer
	drains   []chan struct{}
}

// arrival is a caller of Do. It is kept until it is answered and, if its work
// was chosen to run, started.
type arrival struct {
	ctx  context.Context
	run  func(context.Context) Outcome
	done chan Answer
}

// envelope is a message with the ways back to its sender; one at most is set.
type envelope struct {
	msg     Message
	arrival *arrival
	put     chan PutAnswer
	join    chan JoinAnswer
	drain   chan struct{}
	ticket  *ticketCall
	// home wants to know whether this VM is the home of journal.
	home    chan bool
	journal JournalID
}

type ticketCall struct {
	team string
	now  time.Time
	done chan ticketDone
}

type ticketDone struct {
	key string
	err error
}

// New returns a service; Run must be called for it to work.
func New(cfg Config, store platform.Store, caller peer.Caller, rec timeline.Recorder, reg prometheus.Registerer) *Service {
	cfg.StoreTimeout = orDefault(cfg.StoreTimeout, time.Second)
	cfg.PutTimeout = orDefault(cfg.PutTimeout, 700*time.Millisecond)
	cfg.DefaultDeadline = orDefault(cfg.DefaultDeadline, time.Minute)
	cfg.Limits = cfg.Limits.withDefaults()
	return &Service{
		cfg: cfg, store: store, caller: caller, rec: rec, metrics: newMetrics(reg),
		in: make(chan envelope, inbox), stopped: make(chan struct{}),
		core:    NewCore(cfg.VM, cfg.Incarnation, cfg.Secret, cfg.Limits),
		pending: make(map[ArrivalID]*arrival),
		puts:    make(map[uint64]chan PutAnswer),
		joins:   make(map[uint64]chan JoinAnswer),
	}
}

// Run serves until ctx ends. Work in progress is not cancelled then; callers of
// Do that still wait get RunUnknown. Drain comes first in a planned stop.
func (s *Service) Run(ctx context.Context) {
	var sweeping sync.WaitGroup
	defer sweeping.Wait()
	defer close(s.stopped)
	sweeping.Go(func() { s.sweep(ctx) })
	timer := time.NewTimer(time.Hour)
	defer timer.Stop()
	for {
		s.arm(timer)
		select {
		case <-ctx.Done():
			return
		case e := <-s.in:
			s.take(e)
		case <-timer.C:
			s.step(Tick{})
		}
	}
}

func (s *Service) arm(t *time.Timer) {
	d := time.Hour
	if next := s.core.NextTick(); !next.IsZero() {
		d = max(time.Until(next), 0)
	}
	t.Reset(d)
}

func (s *Service) take(e envelope) {
	switch {
	case e.ticket != nil:
		key, err := s.core.Ticket(e.ticket.now, e.ticket.team)
		e.ticket.done <- ticketDone{key: key, err: err}
		return
	case e.home != nil:
		_, remote := s.core.home(e.journal)
		e.home <- !remote
		return
	case e.arrival != nil:
		s.arrivals++
		s.pending[s.arrivals] = e.arrival
		m := e.msg.(Arrive)
		m.ID = s.arrivals
		e.msg = m
	case e.put != nil:
		s.inCalls++
		s.puts[s.inCalls] = e.put
		m := e.msg.(PeerPut)
		m.Call = s.inCalls
		e.msg = m
	case e.join != nil:
		s.inCalls++
		s.joins[s.inCalls] = e.join
		m := e.msg.(PeerJoin)
		m.Call = s.inCalls
		e.msg = m
	case e.drain != nil:
		s.drains = append(s.drains, e.drain)
	}
	s.step(e.msg)
}

func (s *Service) step(m Message) {
	actions := s.core.Step(time.Now(), m)
	if s.cfg.OnStep != nil {
		s.cfg.OnStep(m, actions)
	}
	for _, a := range actions {
		s.act(a)
	}
	s.metrics.entries.Set(float64(len(s.core.entries)))
	s.metrics.reports.Set(float64(s.core.reports.len()))
	if len(s.drains) > 0 && s.core.Idle() {
		for _, d := range s.drains {
			close(d)
		}
		s.drains = nil
	}
}

func (s *Service) send(e envelope) {
	select {
	case s.in <- e:
	case <-s.stopped:
	}
}

// SetView tells the service which VMs live. It waits while the inbox is full.
func (s *Service) SetView(v membership.View) { s.send(envelope{msg: SetView{View: v}}) }

// Drain records outcomes without delay and waits until no run is in progress
// and all are recorded, or ctx ends.
func (s *Service) Drain(ctx context.Context) error {
	done := make(chan struct{})
	select {
	case s.in <- envelope{msg: Flush{}, drain: done}:
	case <-s.stopped:
		return trace.Wrap(result.New(result.Draining, "the claims have stopped"))
	case <-ctx.Done():
		return trace.Wrap(ctx.Err())
	}
	select {
	case <-done:
		return nil
	case <-s.stopped:
		return trace.Wrap(result.New(result.Draining, "the claims have stopped"))
	case <-ctx.Done():
		return trace.Wrap(ctx.Err())
	}
}

// Ticket returns a run ticket for team, which Do accepts as a key as long as
// this process lives and Limits.Window has not passed. Errors carry Overloaded.
func (s *Service) Ticket(team string, now time.Time) (string, error) {
	t := &ticketCall{team: team, now: now, done: make(chan ticketDone, 1)}
	s.send(envelope{ticket: t})
	select {
	case d := <-t.done:
		return d.key, trace.Wrap(d.err)
	case <-s.stopped:
		return "", result.New(result.Draining, "the claims have stopped")
	}
}

// Do runs the work under req.Key at most once over the whole fleet. It starts
// run, joins a live run, replays a recorded outcome, or returns an error with a
// result code. A run state of not_run is about this arrival: it has started
// nothing and never will; an earlier arrival of the key may have. The end of ctx
// ends the wait (CallerGone), never the claim or the run, which gets a context
// with the values of ctx and no end.
func (s *Service) Do(ctx context.Context, req Request, run func(context.Context) Outcome) (Outcome, error) {
	a := &arrival{ctx: context.WithoutCancel(ctx), run: run, done: make(chan Answer, 1)}
	if req.Deadline.IsZero() {
		req.Deadline = time.Now().Add(s.cfg.DefaultDeadline)
	}
	select {
	case s.in <- envelope{msg: Arrive{Request: req}, arrival: a}:
	case <-s.stopped:
		return Outcome{}, result.New(result.Draining, "the claims have stopped")
	case <-ctx.Done():
		return Outcome{}, result.New(result.CallerGone, "the caller left").WithRun(result.NotRun)
	}
	select {
	case d := <-a.done:
		s.metrics.answered(d)
		return d.Outcome, d.Err
	case <-s.stopped:
		return Outcome{}, result.New(result.RunUnknown, "the claims have stopped")
	case <-ctx.Done():
		return Outcome{}, result.New(result.CallerGone, "the caller left; the request may run")
	}
}
