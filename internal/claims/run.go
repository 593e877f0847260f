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

// Config configures the service of one process.
type Config struct {
	// VM is this VM's name, at most 64 bytes.
	VM string
	// Incarnation must change on each start of the process and never be reused.
	Incarnation uint64
	// Secret signs run tickets. It must be the same on every VM of the fleet.
	Secret []byte
	// Limits holds bounds and wait times; zero values select the defaults.
	Limits Limits
	// StoreTimeout bounds one store call. Default 1s.
	StoreTimeout time.Duration
	// PutTimeout bounds one claims.put call to the home VM. Default 700ms.
	PutTimeout time.Duration
	// DefaultDeadline is the time limit of requests without a deadline. Default
	// 60s.
	DefaultDeadline time.Duration
	// OnStep, if set, is called with every message and its actions, for tests.
	OnStep func(Message, []Action)
}

// Types of the peer messages between routers.
const (
	putType  peer.Type = "claims.put"
	joinType peer.Type = "claims.join"
)

// inboxSize is the number of messages that can be queued for the core. When the
// queue is full, Do blocks until its context ends; answers of the store and of
// peers block until the service stops.
const inboxSize = 1024

// Service runs each unit of keyed work at most once in the fleet.
type Service struct {
	cfg      Config
	store    platform.Store
	caller   peer.Caller
	recorder timeline.Recorder
	metrics  *metrics
	inbox    chan envelope
	stopped  chan struct{}

	// Owned by the goroutine of Run.
	core         *Core
	lastArrival  ArrivalID
	pending      map[ArrivalID]*arrival
	lastCall     uint64
	putReplies   map[uint64]chan PutAnswer
	joinReplies  map[uint64]chan JoinAnswer
	drainWaiters []chan struct{}
}

// arrival is a call of Do. It is kept until it is answered and, if the core chose
// its work to run, until the work has started.
type arrival struct {
	ctx    context.Context
	run    func(context.Context) Outcome
	answer chan Answer
}

// envelope is a message and the recipient of its answer. At most one recipient is
// set.
type envelope struct {
	msg     Message
	arrival *arrival
	put     chan PutAnswer
	join    chan JoinAnswer
	drain   chan struct{}
	ticket  *ticketRequest
	// isHome receives whether this VM is the home of journal.
	isHome  chan bool
	journal JournalID
}

type ticketRequest struct {
	team  string
	now   time.Time
	reply chan ticketReply
}

type ticketReply struct {
	key string
	err error
}

// New returns a service. It processes no messages until Run is called.
func New(cfg Config, store platform.Store, caller peer.Caller, rec timeline.Recorder, reg prometheus.Registerer) *Service {
	cfg.StoreTimeout = orDefault(cfg.StoreTimeout, time.Second)
	cfg.PutTimeout = orDefault(cfg.PutTimeout, 700*time.Millisecond)
	cfg.DefaultDeadline = orDefault(cfg.DefaultDeadline, time.Minute)
	cfg.Limits = cfg.Limits.withDefaults()
	return &Service{
		cfg: cfg, store: store, caller: caller, recorder: rec, metrics: newMetrics(reg),
		inbox: make(chan envelope, inboxSize), stopped: make(chan struct{}),
		core:        NewCore(cfg.VM, cfg.Incarnation, cfg.Secret, cfg.Limits),
		pending:     make(map[ArrivalID]*arrival),
		putReplies:  make(map[uint64]chan PutAnswer),
		joinReplies: make(map[uint64]chan JoinAnswer),
	}
}

// Run serves until ctx ends. Work in progress is not canceled then; pending calls
// of Do return RunUnknown. A planned stop calls Drain first.
func (s *Service) Run(ctx context.Context) {
	var sweeping sync.WaitGroup
	defer sweeping.Wait()
	defer close(s.stopped)
	sweeping.Go(func() { s.sweep(ctx) })
	timer := time.NewTimer(time.Hour)
	defer timer.Stop()
	for {
		s.resetTimer(timer)
		select {
		case <-ctx.Done():
			return
		case e := <-s.inbox:
			s.receive(e)
		case <-timer.C:
			s.step(Tick{})
		}
	}
}

func (s *Service) resetTimer(t *time.Timer) {
	d := time.Hour
	if next := s.core.NextTick(); !next.IsZero() {
		d = max(time.Until(next), 0)
	}
	t.Reset(d)
}

func (s *Service) receive(e envelope) {
	switch {
	case e.ticket != nil:
		key, err := s.core.Ticket(e.ticket.now, e.ticket.team)
		e.ticket.reply <- ticketReply{key: key, err: err}
		return
	case e.isHome != nil:
		_, remote := s.core.home(e.journal)
		e.isHome <- !remote
		return
	case e.arrival != nil:
		s.lastArrival++
		s.pending[s.lastArrival] = e.arrival
		m := e.msg.(Arrival)
		m.ID = s.lastArrival
		e.msg = m
	case e.put != nil:
		s.lastCall++
		s.putReplies[s.lastCall] = e.put
		m := e.msg.(PeerPut)
		m.Call = s.lastCall
		e.msg = m
	case e.join != nil:
		s.lastCall++
		s.joinReplies[s.lastCall] = e.join
		m := e.msg.(PeerJoin)
		m.Call = s.lastCall
		e.msg = m
	case e.drain != nil:
		s.drainWaiters = append(s.drainWaiters, e.drain)
	}
	s.step(e.msg)
}

func (s *Service) step(m Message) {
	actions := s.core.Step(time.Now(), m)
	if s.cfg.OnStep != nil {
		s.cfg.OnStep(m, actions)
	}
	for _, a := range actions {
		s.execute(a)
	}
	s.metrics.inProgress.Set(float64(len(s.core.entries)))
	s.metrics.unrecorded.Set(float64(s.core.reports.len()))
	if len(s.drainWaiters) > 0 && s.core.Idle() {
		for _, d := range s.drainWaiters {
			close(d)
		}
		s.drainWaiters = nil
	}
}

func (s *Service) send(e envelope) {
	select {
	case s.inbox <- e:
	case <-s.stopped:
	}
}

// SetView sets the membership view. It blocks while the inbox is full.
func (s *Service) SetView(v membership.View) { s.send(envelope{msg: SetView{View: v}}) }

// Drain records outcomes without delay. It waits until no work is in progress and
// all outcomes are recorded, or until ctx ends.
func (s *Service) Drain(ctx context.Context) error {
	done := make(chan struct{})
	select {
	case s.inbox <- envelope{msg: Flush{}, drain: done}:
	case <-s.stopped:
		return trace.Wrap(result.New(result.Draining, "the claims service has stopped"))
	case <-ctx.Done():
		return trace.Wrap(ctx.Err())
	}
	select {
	case <-done:
		return nil
	case <-s.stopped:
		return trace.Wrap(result.New(result.Draining, "the claims service has stopped"))
	case <-ctx.Done():
		return trace.Wrap(ctx.Err())
	}
}

// Ticket returns a run ticket for team. Do accepts it as a key while this process
// runs, for Limits.Window. Errors carry Overloaded.
func (s *Service) Ticket(team string, now time.Time) (string, error) {
	t := &ticketRequest{team: team, now: now, reply: make(chan ticketReply, 1)}
	s.send(envelope{ticket: t})
	select {
	case d := <-t.reply:
		return d.key, trace.Wrap(d.err)
	case <-s.stopped:
		return "", result.New(result.Draining, "the claims service has stopped")
	}
}

// Do runs the work under req.Key at most once in the whole fleet. It starts run,
// joins a run in progress, replays a recorded outcome, or returns an error with a
// result code. A run state of not_run applies to this arrival: it has started
// nothing and never will, but an earlier arrival of the key may have. When ctx
// ends, Do returns CallerGone, but the claim and the run continue: run gets a
// context that has the values of ctx and is never canceled.
func (s *Service) Do(ctx context.Context, req Request, run func(context.Context) Outcome) (Outcome, error) {
	a := &arrival{ctx: context.WithoutCancel(ctx), run: run, answer: make(chan Answer, 1)}
	if req.Deadline.IsZero() {
		req.Deadline = time.Now().Add(s.cfg.DefaultDeadline)
	}
	select {
	case s.inbox <- envelope{msg: Arrival{Request: req}, arrival: a}:
	case <-s.stopped:
		return Outcome{}, result.New(result.Draining, "the claims service has stopped")
	case <-ctx.Done():
		return Outcome{}, result.New(result.CallerGone, "the caller canceled the request").WithRun(result.NotRun)
	}
	select {
	case d := <-a.answer:
		s.metrics.countAnswer(d)
		return d.Outcome, d.Err
	case <-s.stopped:
		return Outcome{}, result.New(result.RunUnknown, "the claims service has stopped")
	case <-ctx.Done():
		return Outcome{}, result.New(result.CallerGone, "the caller canceled the request, which may still run")
	}
}
