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
	// inboxSize is the maximum number of messages queued for the state machine.
	inboxSize = 256
	// tickInterval is the time between two ticks of the state machine.
	tickInterval = 250 * time.Millisecond
	// readTimeout is the timeout of a poll. A watch may take maxWatchWait
	// longer.
	readTimeout  = 5 * time.Second
	maxWatchWait = 30 * time.Second
	// peerTimeout is the timeout of a notice and of a fetch.
	peerTimeout = 2 * time.Second
	// submitTimeout is the timeout of a submission.
	submitTimeout = 10 * time.Second
)

var generationGauge = promauto.NewGauge(prometheus.GaugeOpts{
	Name: "pier_distribution_generation",
	Help: "Generation of the document in force at this agent.",
})

// Runner runs the state machine and performs its calls.
type Runner struct {
	config   Config
	fleet    string
	store    platform.Store
	caller   peer.Caller
	recorder timeline.Recorder
	publish  func(Document)
	inbox    chan Message
	calls    sync.WaitGroup
	current  atomic.Pointer[Document]
	rejected atomic.Uint64
	view     atomic.Pointer[membership.View]
	// revision is the revision that the last watch returned. At most one watch
	// is in progress.
	revision uint64
	// lastResponse is the Unix time in milliseconds of the platform's last
	// response to a read, lastError the error of the last read, nil if it
	// succeeded.
	lastResponse atomic.Int64
	lastError    atomic.Pointer[string]
}

// NewRunner returns a runner. It calls publish with each document put in force,
// in ascending order of generation. publish must not block.
func NewRunner(c Config, fleet string, store platform.Store, caller peer.Caller, r timeline.Recorder, publish func(Document)) *Runner {
	run := &Runner{
		config: c, fleet: fleet, store: store, caller: caller, recorder: r, publish: publish,
		inbox: make(chan Message, inboxSize),
	}
	run.current.Store(&Document{})
	run.view.Store(&membership.View{})
	return run
}

// Run runs until ctx is done and all its calls have returned.
func (r *Runner) Run(ctx context.Context) {
	defer r.calls.Wait()
	state := New(r.config, rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())))
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	var m Message = Tick{}
	for {
		for _, a := range state.Step(time.Now(), m) {
			r.perform(ctx, a)
		}
		r.rejected.Store(state.RejectedGeneration())
		select {
		case <-ctx.Done():
			return
		case m = <-r.inbox:
		case <-ticker.C:
			m = Tick{}
		}
	}
}

// send queues a message and waits while the inbox is full. Few calls are in
// progress, and losing the result of one would permanently stop that kind of
// call.
func (r *Runner) send(ctx context.Context, m Message) {
	select {
	case r.inbox <- m:
	case <-ctx.Done():
	}
}

// SetView updates the membership view. When the inbox is full, the view does not
// reach the state machine; the next one replaces it.
func (r *Runner) SetView(v membership.View) {
	r.view.Store(&v)
	r.trySend(ViewSet{View: v})
}

// ObservePeerGeneration reports that a peer's heartbeat carried a generation.
// The message is dropped when the inbox is full, since the next heartbeat
// repeats it.
func (r *Runner) ObservePeerGeneration(address string, generation uint64) {
	if generation > r.Current().Generation {
		r.trySend(PeerGeneration{Address: address, Generation: generation})
	}
}

func (r *Runner) trySend(m Message) {
	select {
	case r.inbox <- m:
	default:
	}
}

// Current returns the document in force.
func (r *Runner) Current() Document { return *r.current.Load() }

// RejectedGeneration returns the newest generation that this build can't apply,
// or zero if there is none.
func (r *Runner) RejectedGeneration() uint64 { return r.rejected.Load() }

// LastResponse returns the time of the platform's last response to a read of the
// document, and the error of the last read, which is empty if it succeeded.
func (r *Runner) LastResponse() (time.Time, string) {
	text := ""
	if p := r.lastError.Load(); p != nil {
		text = *p
	}
	return time.UnixMilli(r.lastResponse.Load()), text
}

// PlatformUp reports whether the platform has responded to a read of the
// document and the last completed read did not fail. A watch in progress does
// not count as a failure.
func (r *Runner) PlatformUp() bool {
	return r.lastError.Load() == nil && r.lastResponse.Load() > 0
}

func (r *Runner) perform(ctx context.Context, a Action) {
	switch a := a.(type) {
	case PutInForce:
		r.putInForce(a.Document)
	case Reject:
		klog.Warningf("distribution: Generation %d is rejected, generation %d stays in force: %v.", a.Generation, r.Current().Generation, a.Err)
		r.recorder.Record("", "document.refused", timeline.F("generation", strconv.FormatUint(a.Generation, 10)))
	case Notify:
		for _, addr := range a.Addresses {
			r.calls.Go(func() { r.notify(ctx, addr, a.Generation) })
		}
	case FetchFrom:
		r.calls.Go(func() { r.send(ctx, r.fetch(ctx, a.Address)) })
	case Poll:
		r.calls.Go(func() { r.send(ctx, r.poll(ctx)) })
	case Watch:
		r.calls.Go(func() { r.send(ctx, r.watch(ctx)) })
	}
}

func (r *Runner) putInForce(d Document) {
	r.current.Store(&d)
	generationGauge.Set(float64(d.Generation))
	klog.Infof("distribution: Generation %d is in force.", d.Generation)
	r.recorder.Record("", "document.applied", timeline.F("generation", strconv.FormatUint(d.Generation, 10)))
	r.publish(d)
}

func (r *Runner) notify(ctx context.Context, addr string, generation uint64) {
	ctx, cancel := context.WithTimeout(ctx, peerTimeout)
	defer cancel()
	in := NoticeRequest{Generation: generation, Address: r.config.Address}
	if err := r.caller.Call(ctx, addr, Notice, in, nil); err != nil {
		klog.V(1).Infof("distribution: Notice of generation to %s failed: %v.", addr, err)
	}
}

func (r *Runner) fetch(ctx context.Context, addr string) ReadResult {
	ctx, cancel := context.WithTimeout(ctx, peerTimeout)
	defer cancel()
	out := ReadResult{Source: FromPeer, Address: addr}
	var response FetchResponse
	err := r.caller.Call(ctx, addr, Fetch, FetchRequest{NewerThan: r.Current().Generation}, &response)
	if err == nil && len(response.GzippedText) > 0 {
		out.Text, err = decompress(response.GzippedText)
	}
	if err != nil {
		klog.V(1).Infof("distribution: Fetching the document from %s failed: %v.", addr, err)
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
	r.recordResponse(err)
	return ReadResult{Source: FromPlatform, Text: o.Value, Failed: err != nil}
}

func (r *Runner) watch(ctx context.Context) ReadResult {
	ctx, cancel := context.WithTimeout(ctx, maxWatchWait+readTimeout)
	defer cancel()
	objects, revision, err := r.store.Watch(ctx, platform.KindDocument, r.revision)
	r.recordResponse(err)
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

func (r *Runner) recordResponse(err error) {
	if err != nil {
		text := err.Error()
		r.lastError.Store(&text)
		return
	}
	r.lastError.Store(nil)
	r.lastResponse.Store(time.Now().UnixMilli())
}

// Register adds the handlers that peers call.
func (r *Runner) Register(m peer.Mux) {
	m.Handle(Notice, func(ctx context.Context, _ peer.Identity, b peer.Body) (any, error) {
		var in NoticeRequest
		if err := b.Decode(&in); err != nil {
			return nil, trace.Wrap(err)
		}
		r.send(ctx, PeerGeneration{Address: in.Address, Generation: in.Generation, FromNotice: true})
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
		compressed, err := compress(d.Text)
		if err != nil {
			return nil, trace.Wrap(result.New(result.Internal, "compress document: %v", err))
		}
		return FetchResponse{Generation: d.Generation, GzippedText: compressed}, nil
	})
}
