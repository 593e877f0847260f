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

// execute executes one action. Actions that block run in goroutines of their own,
// whose number is bounded by the journals, peer calls and entries of the core.
func (s *Service) execute(a Action) {
	switch a := a.(type) {
	case ReadJournal:
		go s.read(a)
	case WriteJournal:
		s.metrics.writtenItems.Add(float64(a.Items))
		go s.write(a)
	case SendPut:
		go s.sendPut(a)
	case SendJoin:
		go s.sendJoin(a)
	case ReplyPut:
		s.putReplies[a.Call] <- a.Body
		delete(s.putReplies, a.Call)
	case ReplyJoin:
		s.joinReplies[a.Call] <- a.Body
		delete(s.joinReplies, a.Call)
	case Start:
		go s.startRun(a, s.pending[a.Arrival])
	case Answer:
		s.pending[a.Arrival].answer <- a
		delete(s.pending, a.Arrival)
	case RecordEvent:
		s.recordEvent(a)
	}
}

func (s *Service) recordEvent(e RecordEvent) {
	s.metrics.events.WithLabelValues(e.Name).Inc()
	s.recorder.Record(e.Request, e.Name, timeline.F("digest", e.Digest.String()), timeline.F("detail", e.Detail))
	if e.Name == "claims.outcome_lost" {
		klog.Warningf("claims: could not record the outcome of %s in time; later requests with its key may get run_unknown", e.Digest)
	}
}

// startRun runs the work unless its deadline has passed on the monotonic clock or
// on the wall clock; the monotonic clock may stop while a VM is suspended. A
// suspension between this check and the first byte of the request is not detected;
// the work then runs late, but still only once.
func (s *Service) startRun(a Start, arr *arrival) {
	out := Outcome{Run: result.NotRun, Code: result.DeadlineExceeded}
	now := time.Now()
	if now.Before(a.Deadline) && now.Round(0).Before(a.Deadline.Round(0)) {
		out = runRecovered(arr)
	}
	s.send(envelope{msg: RunEnded{Digest: a.Digest, ClaimNumber: a.ClaimNumber, Outcome: out}})
}

// runRecovered runs the work. If it panics, the run state is Unknown, because the
// work may have been executed.
func runRecovered(arr *arrival) (out Outcome) {
	defer func() {
		if r := recover(); r != nil {
			klog.Errorf("claims: a run panicked, its run state is unknown: %v", r)
			out = Outcome{Run: result.Unknown, Code: result.Internal}
		}
	}()
	return arr.run(arr.ctx)
}

func (s *Service) read(a ReadJournal) {
	ctx, cancel := context.WithTimeout(context.Background(), s.cfg.StoreTimeout)
	defer cancel()
	s.metrics.storeCalls.WithLabelValues("read").Inc()
	o, err := s.store.Get(ctx, platform.KindJournal, a.Journal.Name())
	if result.Is(err, result.PlatformNotFound) {
		o, err = platform.Object{}, nil
	}
	s.send(envelope{msg: StoreRead{Op: a.Op, Journal: a.Journal, Object: o, Err: err}})
}

func (s *Service) write(a WriteJournal) {
	ctx, cancel := context.WithTimeout(context.Background(), s.cfg.StoreTimeout)
	defer cancel()
	s.metrics.storeCalls.WithLabelValues("write").Inc()
	start := time.Now()
	v, err := conditionalWrite(ctx, s.store, a.Journal.Name(), a.BaseVersion, a.Value)
	s.metrics.writeTime.Observe(time.Since(start).Seconds())
	s.send(envelope{msg: StoreWritten{Op: a.Op, Journal: a.Journal, Version: v, Err: err}})
}

// conditionalWrite creates or updates a journal. An error without a known code is
// treated as a lost answer: the write may have been applied.
func conditionalWrite(ctx context.Context, st platform.Store, name string, base platform.Version, value []byte) (platform.Version, error) {
	var v platform.Version
	var err error
	if base == 0 {
		v, err = st.Create(ctx, platform.KindJournal, name, value)
	} else {
		v, err = st.Update(ctx, platform.KindJournal, name, base, value)
	}
	if err != nil && result.From(err).Code == result.Internal {
		return 0, result.New(result.PlatformWriteUnknown, "%v", err)
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
			return nil, trace.Wrap(result.New(result.PeerMessageInvalid, "malformed claims.put body"))
		}
		done := make(chan PutAnswer, 1)
		s.send(envelope{msg: PeerPut{Body: body}, put: done})
		return await(ctx, s, done)
	})
	m.Handle(joinType, func(ctx context.Context, _ peer.Identity, b peer.Body) (any, error) {
		var body JoinBody
		if err := cbor.Unmarshal(b, &body); err != nil {
			return nil, trace.Wrap(result.New(result.PeerMessageInvalid, "malformed claims.join body"))
		}
		done := make(chan JoinAnswer, 1)
		s.send(envelope{msg: PeerJoin{Body: body}, join: done})
		return await(ctx, s, done)
	})
}

// await returns the core's answer, or an error if the caller's context or the
// service ends first. The channel is buffered, so the core never blocks on it.
func await[T any](ctx context.Context, s *Service, done <-chan T) (any, error) {
	select {
	case a := <-done:
		return a, nil
	case <-ctx.Done():
		return nil, trace.Wrap(result.New(result.PeerUnreachable, "the peer canceled its call"))
	case <-s.stopped:
		return nil, trace.Wrap(result.New(result.Draining, "the claims service has stopped"))
	}
}

// sweep closes and removes old journals, with at most one store listing per
// sweepInterval. Only the home VM of a group sweeps the group.
func (s *Service) sweep(ctx context.Context) {
	sw := newSweeper(time.Now(), s.cfg.Limits.MaxKeyAge)
	t := time.NewTicker(sweepInterval)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
		}
		job, ok := sw.nextJob(time.Now())
		if !ok {
			continue
		}
		if !s.isSweepHome(ctx, job) {
			delete(sw.closedSince, job.Group)
			continue
		}
		s.sweepGroup(ctx, sw, job)
	}
}

// isSweepHome asks the core's goroutine whether this VM is the group's home.
func (s *Service) isSweepHome(ctx context.Context, job sweepJob) bool {
	done := make(chan bool, 1)
	s.send(envelope{msg: Tick{}, isHome: done, journal: JournalID{Bucket: job.Group}})
	select {
	case isHome := <-done:
		return isHome
	case <-ctx.Done():
		return false
	}
}

func (s *Service) sweepGroup(ctx context.Context, sw *sweeper, job sweepJob) {
	ctx, cancel := context.WithTimeout(ctx, 10*s.cfg.StoreTimeout)
	defer cancel()
	s.metrics.storeCalls.WithLabelValues("list").Inc()
	found, err := s.store.List(ctx, platform.KindJournal, job.Prefix)
	if err != nil {
		klog.V(1).Infof("claims: could not list the journals to sweep: %v", err)
		return
	}
	for _, op := range sw.plan(time.Now(), job, found) {
		s.metrics.storeCalls.WithLabelValues("sweep").Inc()
		if op.Remove {
			err = s.store.Delete(ctx, platform.KindJournal, op.Name, op.Base)
		} else {
			_, err = s.store.Update(ctx, platform.KindJournal, op.Name, op.Base, closedValue())
		}
		if err != nil {
			klog.V(1).Infof("claims: could not close or remove journal %s: %v", op.Name, err)
		}
	}
}
