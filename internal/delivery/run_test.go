package delivery

import (
	"context"
	"errors"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cranberrypier/cranberrypier/internal/result"
	"github.com/stretchr/testify/require"
	"go.uber.org/goleak"
)

// transport is a scripted upstream: one function an attempt.
type transport []func(ctx context.Context, d Dispatch, r *Reporter)

func (t transport) Attempt(ctx context.Context, d Dispatch, r *Reporter) {
	if int(d.Attempt) > len(t) {
		r.Failed(FailPlacement, false, result.New(result.NoUpstream, "script over"))
		return
	}
	t[d.Attempt-1](ctx, d, r)
}

// stream sends events from the resume point up to last, then ends as told.
func stream(upstream string, last uint64, end func(r *Reporter)) func(context.Context, Dispatch, *Reporter) {
	return func(_ context.Context, d Dispatch, r *Reporter) {
		if !r.Dispatched(upstream) {
			return
		}
		r.Accepted("r")
		for id := d.LastEventID + 1; id <= last; id++ {
			r.Event(id, id, []byte{byte(id)})
		}
		end(r)
	}
}

func done(r *Reporter) { r.Done(Answer{}) }
func cut(r *Reporter)  { r.Failed(FailCut, true, nil) }

// hang waits for its cancellation, as on a silent connection.
func hang(upstream string) func(context.Context, Dispatch, *Reporter) {
	return func(ctx context.Context, _ Dispatch, r *Reporter) {
		if r.Dispatched(upstream) {
			<-ctx.Done()
		}
	}
}

type sink struct {
	got  []byte
	fail bool
}

func (s *sink) Event(_ uint64, data []byte) error {
	if s.fail {
		return errors.New("broken pipe")
	}
	s.got = append(s.got, data...)
	return nil
}

func TestRun(t *testing.T) {
	late := func(ctx context.Context, _ Dispatch, r *Reporter) {
		if !r.Dispatched("a") {
			return
		}
		select {
		case <-time.After(90 * time.Second):
			r.Accepted("r")
			r.Done(Answer{Status: 201, Body: []byte("ok")})
		case <-ctx.Done():
		}
	}
	tests := []struct {
		name     string
		once     bool
		t        transport
		callerAt time.Duration // when the caller leaves; zero for never
		sinkFail bool
		want     string
		code     result.Code
		elapsed  time.Duration
		settle   *Settle
	}{
		{name: "a stream cut twice arrives whole", t: transport{stream("a", 2, cut), stream("a", 3, cut), stream("b", 5, done)}, want: "\x01\x02\x03\x04\x05"},
		{name: "a silent connection is replaced after the silence limit", t: transport{hang("a"), stream("b", 2, done)}, want: "\x01\x02", elapsed: 5 * time.Second},
		{name: "a transport that returns without a report counts as cut", t: transport{func(_ context.Context, _ Dispatch, r *Reporter) { r.Dispatched("a") }, stream("b", 1, done)}, want: "\x01"},
		{name: "the deadline answers at once", t: transport{hang("a"), hang("b"), hang("c")}, code: result.UpstreamFailed, elapsed: 15 * time.Second},
		{name: "a caller that leaves ends the request", t: transport{hang("a")}, callerAt: time.Second, code: result.CallerGone, elapsed: time.Second},
		{name: "a caller whose connection broke ends the request", t: transport{stream("a", 1, done)}, sinkFail: true, code: result.CallerGone},
		{name: "work that is not repeatable outlives its caller", once: true, t: transport{late}, callerAt: time.Second, code: result.CallerGone, elapsed: time.Second, settle: &Settle{Run: result.Ran, Complete: true}},
		{name: "work that is not repeatable outlives its deadline", once: true, t: transport{late}, code: result.DeadlineExceeded, elapsed: time.Minute, settle: &Settle{Run: result.Unknown}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				d := NewDeliverer(NewBudget(0.2, 10), nil)
				ctx, cancel := context.WithCancel(t.Context())
				defer cancel()
				if tt.callerAt > 0 {
					time.AfterFunc(tt.callerAt, cancel)
				}
				spec := Spec{RequestID: "r", Repeatable: !tt.once, ProgressTimeout: 5 * time.Second, Deadline: time.Now().Add(time.Minute), MaxAttempts: 3}
				if tt.settle != nil && tt.settle.Run == result.Ran {
					spec.Deadline = time.Now().Add(80 * time.Second)
				}
				var settles atomic.Int32
				var settle Settle
				s := &sink{fail: tt.sinkFail}
				began := time.Now()
				out := d.Run(ctx, spec, tt.t, s, func(st Settle, _ Answer) { settle = st; settles.Add(1) }, nil)
				elapsed := time.Since(began)
				d.Wait()
				if tt.code != 0 {
					require.True(t, result.Is(out.Err, tt.code), "%v", out.Err)
				} else {
					require.NoError(t, out.Err)
				}
				require.Equal(t, tt.want, string(s.got))
				require.Less(t, elapsed-tt.elapsed, time.Second)
				require.GreaterOrEqual(t, elapsed, tt.elapsed)
				if tt.settle != nil {
					require.EqualValues(t, 1, settles.Load())
					require.Equal(t, *tt.settle, settle)
				}
			})
		})
	}
	goleak.VerifyNone(t)
}

// BenchmarkRelay measures one token through the attempt, the request's
// goroutine and the sink.
func BenchmarkRelay(b *testing.B) {
	d := NewDeliverer(NewBudget(0.2, 10), nil)
	data := []byte(`{"id":"r","object":"chat.completion.chunk","choices":[{"index":0,"delta":{"content":"token"}}]}`)
	b.ReportAllocs()
	t := transport{func(_ context.Context, _ Dispatch, r *Reporter) {
		r.Dispatched("a")
		r.Accepted("r")
		for id := range uint64(b.N) {
			r.Event(id+1, 0, data)
		}
		r.Done(Answer{})
	}}
	b.ResetTimer()
	out := d.Run(b.Context(), Spec{RequestID: "r", Repeatable: true, ProgressTimeout: time.Minute, Deadline: time.Now().Add(time.Hour), MaxAttempts: 1}, t, discard{}, nil, nil)
	if out.Err != nil || out.Events != uint64(b.N) {
		b.Fatal(out)
	}
}

type discard struct{}

func (discard) Event(uint64, []byte) error { return nil }
