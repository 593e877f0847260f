package distribution

import (
	"context"
	"math/rand/v2"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/gravitational/trace"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promauto"
	"k8s.io/klog/v2"

	"github.com/cranberrypier/cranberrypier/internal/membership"
	"github.com/cranberrypier/cranberrypier/internal/peer"
	"github.com/cranberrypier/cranberrypier/internal/platform"
	"github.com/cranberrypier/cranberrypier/internal/result"
	"github.com/cranberrypier/cranberrypier/internal/timeline"
)

const (
	// inbox is the number of messages that may wait for the state machine.
	inbox = 256
	// tick is how often time passes for the state machine.
	tick = 250 * time.Millisecond
	// readTimeout bounds a poll; a watch may wait for watchWait more.
	readTimeout = 5 * time.Second
	watchWait   = 30 * time.Second
	// peerTimeout bounds a notice and a fetch.
	peerTimeout = 2 * time.Second
	// submitTime bounds a submission.
	submitTime = 10 * time.Second
)

var generation = promauto.NewGauge(prometheus.GaugeOpts{
	Name: "pier_distribution_generation",
	Help: "Generation of the document in force at this agent.",
})

// Runner owns the state machine and performs its calls.
type Runner struct {
	config   Config
	fleet    string
	store    platform.Store
	caller   peer.Caller
	recorder timeline.Recorder
	publish  func(Document)
	inbox    chan Message
	work     sync.WaitGroup
	current  atomic.Pointer[Document]
	refused  atomic.Uint64
	view     atomic.Pointer[membership.View]
	// revision is the last revision seen by a watch; only one runs at a time.
	revision uint64
	// lastAnswer is the Unix time in milliseconds of the platform's last
	// answer, lastError the error since then.
	lastAnswer atomic.Int64
	lastError  atomic.Pointer[string]
}

// NewRunner returns a runner; publish is called with each document put in
// force, in ascending order of generation, and must not block.
func NewRunner(c Config, fleet string, store platform.Store, caller peer.Caller, r timeline.Recorder, publish func(Document)) *Runner {
	run := &Runner{
		config: c, fleet: fleet, store: store, caller: caller, recorder: r, publish: publish,
		inbox: make(chan Message, inbox),
	}
	run.current.Store(&Document{})
	run.view.Store(&membership.View{})
	return run
}

// Run works until ctx ends and all its calls have returned.
func (r *Runner) Run(ctx context.Context) {
	defer r.work.Wait()
	state := New(r.config, rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())))
	ticker := time.NewTicker(tick)
	defer ticker.Stop()
	var m Message = Tick{}
	for {
		for _, a := range state.Step(time.Now(), m) {
			r.perform(ctx, a)
		}
		r.refused.Store(state.RejectedGeneration())
		select {
		case <-ctx.Done():
			return
		case m = <-r.inbox:
		case <-ticker.C:
			m = Tick{}
		}
	}
}

// send waits while the inbox is full: messages of calls in progress are few,
// and losing the end of one would stop its kind of call for good.
func (r *Runner) send(ctx context.Context, m Message) {
	select {
	case r.inbox <- m:
	case <-ctx.Done():
	}
}

// SetView gives the membership view. When the inbox is full the view is
// dropped; the next one replaces it anyway.
func (r *Runner) SetView(v membership.View) {
	r.view.Store(&v)
	r.offer(ViewSet{View: v})
}

// Noticed tells that a peer's heartbeat carried a generation; dropped when the
// inbox is full, since heartbeats repeat.
func (r *Runner) ObservePeerGeneration(address string, generation uint64) {
	if generation > r.Current().Generation {
		r.offer(PeerGeneration{Address: address, Generation: generation})
	}
}

func (r *Runner) offer(m Message) {
	select {
	case r.inbox <- m:
	default:
	}
}

// Current returns the document in force.
func (r *Runner) Current() Document { return *r.current.Load() }

// Refused returns the newest generation that this build can't apply; zero when
// there is none.
func (r *Runner) RejectedGeneration() uint64 { return r.refused.Load() }

// LastAnswer returns when the platform last answered a read of the document
// and the error since then; empty when that was the last call.
func (r *Runner) LastResponse() (time.Time, string) {
	text := ""
	if p := r.lastError.Load(); p != nil {
		text = *p
	}
	return time.UnixMilli(r.lastAnswer.Load()), text
}

// PlatformUp reports whether the platform answered the last call, and any
// before. A watch that still waits counts as answered.
func (r *Runner) PlatformUp() bool {
	return r.lastError.Load() == nil && r.lastAnswer.Load() > 0
}

func (r *Runner) perform(ctx context.Context, a Action) {
	switch a := a.(type) {
	case Publish:
		r.put(a.Document)
	case Reject:
		klog.Warningf("distribution: Generation %d is refused, %d stays in force: %v.", a.Generation, r.Current().Generation, a.Err)
		r.recorder.Record("", "document.refused", timeline.F("generation", strconv.FormatUint(a.Generation, 10)))
	case Notify:
		for _, addr := range a.Addresses {
			r.work.Go(func() { r.notify(ctx, addr, a.Generation) })
		}
	case FetchFrom:
		r.work.Go(func() { r.send(ctx, r.fetch(ctx, a.Address)) })
	case Poll:
		r.work.Go(func() { r.send(ctx, r.poll(ctx)) })
	case Watch:
		r.work.Go(func() { r.send(ctx, r.watch(ctx)) })
	}
}

func (r *Runner) put(d Document) {
	r.current.Store(&d)
	generation.Set(float64(d.Generation))
	klog.Infof("distribution: Generation %d is in force.", d.Generation)
	r.recorder.Record("", "document.applied", timeline.F("generation", strconv.FormatUint(d.Generation, 10)))
	r.publish(d)
}

func (r *Runner) notify(ctx context.Context, addr string, generation uint64) {
	ctx, cancel := context.WithTimeout(ctx, peerTimeout)
	defer cancel()
	in := NoticeRequest{Generation: generation, Address: r.config.Address}
	if err := r.caller.Call(ctx, addr, Notice, in, nil); err != nil {
		klog.V(1).Infof("distribution: No notice to %s: %v.", addr, err)
	}
}

func (r *Runner) fetch(ctx context.Context, addr string) ReadResult {
	ctx, cancel := context.WithTimeout(ctx, peerTimeout)
	defer cancel()
	out := ReadResult{Source: FromPeer, Address: addr}
	var response FetchResponse
	err := r.caller.Call(ctx, addr, Fetch, FetchRequest{NewerThan: r.Current().Generation}, &response)
	if err == nil && len(response.GzippedText) > 0 {
		out.Text, err = unpack(response.GzippedText)
	}
	if err != nil {
		klog.V(1).Infof("distribution: No document from %s: %v.", addr, err)
		out.Failed = true
	}
	return out
}

func (r *Runner) poll(ctx context.Context) ReadResult {
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	o, err := r.store.Get(ctx, platform.KindDocument, ObjectName)
	if result.Is(err, result.PlatformNotFound) {
		err = nil
	}
	r.answered(err)
	return ReadResult{Source: FromPlatform, Text: o.Value, Failed: err != nil}
}

func (r *Runner) watch(ctx context.Context) ReadResult {
	ctx, cancel := context.WithTimeout(ctx, watchWait+readTimeout)
	defer cancel()
	objects, revision, err := r.store.Watch(ctx, platform.KindDocument, r.revision)
	r.answered(err)
	out := ReadResult{Source: FromPlatform, Watch: true, Failed: err != nil}
	if err != nil {
		return out
	}
	r.revision = revision
	for _, o := range objects {
		if o.Name == ObjectName && o.Version > 0 {
			out.Text = o.Value
		}
	}
	return out
}

func (r *Runner) answered(err error) {
	if err != nil {
		text := err.Error()
		r.lastError.Store(&text)
		return
	}
	r.lastError.Store(nil)
	r.lastAnswer.Store(time.Now().UnixMilli())
}

// Register adds the handlers that peers call.
func (r *Runner) Register(m peer.Mux) {
	m.Handle(Notice, func(ctx context.Context, _ peer.Identity, b peer.Body) (any, error) {
		var in NoticeRequest
		if err := b.Decode(&in); err != nil {
			return nil, trace.Wrap(err)
		}
		r.send(ctx, PeerGeneration{Address: in.Address, Generation: in.Generation, Direct: true})
		return nil, nil
	})
	m.Handle(Fetch, func(_ context.Context, _ peer.Identity, b peer.Body) (any, error) {
		var in FetchRequest
		if err := b.Decode(&in); err != nil {
			return nil, trace.Wrap(err)
		}
		d := r.Current()
		if d.Generation <= in.NewerThan {
			return FetchResponse{Generation: d.Generation}, nil
		}
		packed, err := pack(d.Text)
		if err != nil {
			return nil, trace.Wrap(result.New(result.Internal, "pack document: %v", err))
		}
		return FetchResponse{Generation: d.Generation, GzippedText: packed}, nil
	})
}
