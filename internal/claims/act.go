package claims

import (
	"context"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/gravitational/trace"
	"k8s.io/klog/v2"

	"github.com/cranberrypier/cranberrypier/internal/peer"
	"github.com/cranberrypier/cranberrypier/internal/platform"
	"github.com/cranberrypier/cranberrypier/internal/result"
	"github.com/cranberrypier/cranberrypier/internal/timeline"
)

// act carries out one action. Whatever waits does so in a goroutine of its own;
// their number is bounded by the journals, peer calls and entries of the core.
func (s *Service) act(a Action) {
	switch a := a.(type) {
	case ReadJournal:
		go s.read(a)
	case WriteJournal:
		s.metrics.items.Add(float64(a.Items))
		go s.write(a)
	case SendPut:
		go s.sendPut(a)
	case SendJoin:
		go s.sendJoin(a)
	case ReplyPut:
		s.puts[a.Call] <- a.Body
		delete(s.puts, a.Call)
	case ReplyJoin:
		s.joins[a.Call] <- a.Body
		delete(s.joins, a.Call)
	case Start:
		go s.start(a, s.pending[a.Arrival])
	case Answer:
		s.pending[a.Arrival].done <- a
		delete(s.pending, a.Arrival)
	case RecordEvent:
		s.note(a)
	}
}

func (s *Service) note(n RecordEvent) {
	s.metrics.notes.WithLabelValues(n.Name).Inc()
	s.rec.Record(n.Request, n.Name, timeline.F("digest", n.Digest.String()), timeline.F("detail", n.Detail))
	if n.Name == "claims.outcome_lost" {
		klog.Warningf("claims: the outcome of %s was not recorded in time", n.Digest)
	}
}

// start runs the work unless its deadline has passed, by the monotonic clock or
// by the wall clock: the former may stand still while a VM is suspended. A pause
// between this check and the request's first byte remains; the work then runs
// late, but still once.
func (s *Service) start(a Start, arr *arrival) {
	out := Outcome{Run: result.NotRun, Code: result.DeadlineExceeded}
	now := time.Now()
	if now.Before(a.Deadline) && now.Round(0).Before(a.Deadline.Round(0)) {
		out = guarded(arr)
	}
	s.send(envelope{msg: RunEnded{Digest: a.Digest, Number: a.Number, Outcome: out}})
}

// guarded runs the work; a panic leaves it unknown whether it was executed.
func guarded(arr *arrival) (out Outcome) {
	defer func() {
		if r := recover(); r != nil {
			klog.Errorf("claims: a run panicked: %v", r)
			out = Outcome{Run: result.Unknown, Code: result.Internal}
		}
	}()
	return arr.run(arr.ctx)
}

func (s *Service) read(a ReadJournal) {
	ctx, cancel := context.WithTimeout(context.Background(), s.cfg.StoreTimeout)
	defer cancel()
	s.metrics.calls.WithLabelValues("read").Inc()
	o, err := s.store.Get(ctx, platform.KindJournal, a.Journal.Name())
	if result.Is(err, result.PlatformNotFound) {
		o, err = platform.Object{}, nil
	}
	s.send(envelope{msg: StoreRead{Op: a.Op, Journal: a.Journal, Object: o, Err: err}})
}

func (s *Service) write(a WriteJournal) {
	ctx, cancel := context.WithTimeout(context.Background(), s.cfg.StoreTimeout)
	defer cancel()
	s.metrics.calls.WithLabelValues("write").Inc()
	began := time.Now()
	v, err := conditionalWrite(ctx, s.store, a.Journal.Name(), a.BaseVersion, a.Value)
	s.metrics.writeTime.Observe(time.Since(began).Seconds())
	s.send(envelope{msg: StoreWritten{Op: a.Op, Journal: a.Journal, Version: v, Err: err}})
}

// conditionalWrite creates or updates a journal. An error without a known code
// counts as a lost answer.
func conditionalWrite(ctx context.Context, st platform.Store, name string, base platform.Version, value []byte) (platform.Version, error) {
	var v platform.Version
	var err error
	if base == 0 {
		v, err = st.Create(ctx, platform.KindJournal, name, value)
	} else {
		v, err = st.Update(ctx, platform.KindJournal, name, base, value)
	}
	if err != nil && result.From(err).Code == result.Internal {
		return 0, result.New(result.PlatformUnsure, "%v", err)
	}
	return v, err
}

func (s *Service) sendPut(a SendPut) {
	ctx, cancel := context.WithTimeout(context.Background(), s.cfg.PutTimeout)
	defer cancel()
	var out PutAnswer
	err := s.caller.Call(ctx, a.Addr, putType, a.Body, &out)
	s.send(envelope{msg: PutDone{Call: a.Call, Failed: err != nil, Body: out}})
}

func (s *Service) sendJoin(a SendJoin) {
	ctx, cancel := context.WithDeadline(context.Background(), a.Deadline)
	defer cancel()
	var out JoinAnswer
	err := s.caller.Call(ctx, a.Addr, joinType, a.Body, &out)
	s.send(envelope{msg: JoinDone{Call: a.Call, Failed: err != nil, Body: out}})
}

// Register adds the handlers of the claims.* peer messages.
func (s *Service) Register(m peer.Mux) {
	m.Handle(putType, func(ctx context.Context, _ peer.Identity, b peer.Body) (any, error) {
		var body PutBody
		if err := cbor.Unmarshal(b, &body); err != nil {
			return nil, trace.Wrap(result.New(result.PeerFrame, "a bad claims.put"))
		}
		done := make(chan PutAnswer, 1)
		s.send(envelope{msg: PeerPut{Body: body}, put: done})
		return await(ctx, s, done)
	})
	m.Handle(joinType, func(ctx context.Context, _ peer.Identity, b peer.Body) (any, error) {
		var body JoinBody
		if err := cbor.Unmarshal(b, &body); err != nil {
			return nil, trace.Wrap(result.New(result.PeerFrame, "a bad claims.join"))
		}
		done := make(chan JoinAnswer, 1)
		s.send(envelope{msg: PeerJoin{Body: body}, join: done})
		return await(ctx, s, done)
	})
}

// await returns the core's answer. A caller that leaves before gets none; the
// channel has room, so the core never waits for it.
func await[T any](ctx context.Context, s *Service, done <-chan T) (any, error) {
	select {
	case a := <-done:
		return a, nil
	case <-ctx.Done():
		return nil, trace.Wrap(result.New(result.PeerUnreachable, "the caller left"))
	case <-s.stopped:
		return nil, trace.Wrap(result.New(result.Draining, "the claims have stopped"))
	}
}

// sweep closes and removes old journals, one listing a pause, on the home VM of
// each group.
func (s *Service) sweep(ctx context.Context) {
	sw := newSweeper(time.Now(), s.cfg.Limits.Window)
	t := time.NewTicker(sweepPause)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
		}
		job, ok := sw.next(time.Now())
		if !ok {
			continue
		}
		if !s.sweepHere(ctx, job) {
			delete(sw.seen, job.Group)
			continue
		}
		s.sweepGroup(ctx, sw, job)
	}
}

// sweepHere asks the core's goroutine whether this VM is the group's home.
func (s *Service) sweepHere(ctx context.Context, job sweepJob) bool {
	done := make(chan bool, 1)
	s.send(envelope{msg: Tick{}, home: done, journal: JournalID{Bucket: job.Group}})
	select {
	case here := <-done:
		return here
	case <-ctx.Done():
		return false
	}
}

func (s *Service) sweepGroup(ctx context.Context, sw *sweeper, job sweepJob) {
	ctx, cancel := context.WithTimeout(ctx, 10*s.cfg.StoreTimeout)
	defer cancel()
	s.metrics.calls.WithLabelValues("list").Inc()
	found, err := s.store.List(ctx, platform.KindJournal, job.Prefix)
	if err != nil {
		klog.V(1).Infof("claims: a sweep could not list: %v", err)
		return
	}
	for _, op := range sw.listed(time.Now(), job, found) {
		s.metrics.calls.WithLabelValues("sweep").Inc()
		if op.Remove {
			err = s.store.Delete(ctx, platform.KindJournal, op.Name, op.Base)
		} else {
			_, err = s.store.Update(ctx, platform.KindJournal, op.Name, op.Base, closedValue())
		}
		if err != nil {
			klog.V(1).Infof("claims: journal %s was not swept: %v", op.Name, err)
		}
	}
}
