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

// transport is a scripted upstream with one function for each attempt.
type transport []func(ctx context.Context, d Dispatch, r *Reporter)

func (t transport) Attempt(ctx context.Context, d Dispatch, r *Reporter) {
	if int(d.Attempt) > len(t) {
		r.Failed(FailPlacement, false, result.New(result.NoUpstream, "end of script"))
		return
	}
	t[d.Attempt-1](ctx, d, r)
}

// stream sends the events after the resume point up to last, then calls end.
func stream(upstream string, last uint64, end func(r *Reporter)) func(context.Context, Dispatch, *Reporter) {
	return func(_ context.Context, d Dispatch, r *Reporter) {
		if !r.BeginSend(upstream) {
			return
		}
		r.Accepted("r")
		for id := d.LastEventID + 1; id <= last; id++ {
			r.Event(id, id, []byte{byte(id)})
		}
		end(r)
	}
}

func done(r *Reporter)     { r.Done(Answer{}) }
func truncate(r *Reporter) { r.Failed(FailTruncated, true, nil) }

// hang blocks until it is canceled, like a stalled connection.
func hang(upstream string) func(context.Context, Dispatch, *Reporter) {
	return func(ctx context.Context, _ Dispatch, r *Reporter) {
		if r.BeginSend(upstream) {
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
	slow := func(ctx context.Context, _ Dispatch, r *Reporter) {
		if !r.BeginSend("a") {
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
		callerAt time.Duration // when the caller disconnects; zero means never
		sinkFail bool
		want     string
		code     result.Code
		elapsed  time.Duration
		settle   *RecordOutcome
	}{
		{name: "a stream truncated twice arrives complete", t: transport{stream("a", 2, truncate), stream("a", 3, truncate), stream("b", 5, done)}, want: "\x01\x02\x03\x04\x05"},
		{name: "a stalled connection is replaced after the progress timeout", t: transport{hang("a"), stream("b", 2, done)}, want: "\x01\x02", elapsed: 5 * time.Second},
		{name: "a transport that returns without a report counts as truncated", t: transport{func(_ context.Context, _ Dispatch, r *Reporter) { r.BeginSend("a") }, stream("b", 1, done)}, want: "\x01"},
		{name: "a request fails once all of its attempts have stalled", t: transport{hang("a"), hang("b"), hang("c")}, code: result.UpstreamFailed, elapsed: 15 * time.Second},
		{name: "a caller that disconnects ends the request", t: transport{hang("a")}, callerAt: time.Second, code: result.CallerGone, elapsed: time.Second},
		{name: "a write error on the caller's connection ends the request", t: transport{stream("a", 1, done)}, sinkFail: true, code: result.CallerGone},
		{name: "a non-repeatable request outlives its caller", once: true, t: transport{slow}, callerAt: time.Second, code: result.CallerGone, elapsed: time.Second, settle: &RecordOutcome{Run: result.Ran, Complete: true}},
		{name: "a non-repeatable request outlives its deadline", once: true, t: transport{slow}, code: result.DeadlineExceeded, elapsed: time.Minute, settle: &RecordOutcome{Run: result.Unknown}},
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
				spec := Spec{RequestID: "r", Idempotent: !tt.once, ProgressTimeout: 5 * time.Second, Deadline: time.Now().Add(time.Minute), MaxAttempts: 3}
				if tt.settle != nil && tt.settle.Run == result.Ran {
					spec.Deadline = time.Now().Add(80 * time.Second)
				}
				var settles atomic.Int32
				var settle RecordOutcome
				s := &sink{fail: tt.sinkFail}
				began := time.Now()
				out := d.Run(ctx, spec, tt.t, s, func(st RecordOutcome, _ Answer) { settle = st; settles.Add(1) }, nil)
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

// BenchmarkRelay measures the cost of passing one token from the attempt through
// the request's goroutine to the sink.
func BenchmarkRelay(b *testing.B) {
	d := NewDeliverer(NewBudget(0.2, 10), nil)
	data := []byte(`{"id":"r","object":"chat.completion.chunk","choices":[{"index":0,"delta":{"content":"token"}}]}`)
	b.ReportAllocs()
	t := transport{func(_ context.Context, _ Dispatch, r *Reporter) {
		r.BeginSend("a")
		r.Accepted("r")
		for id := range uint64(b.N) {
			r.Event(id+1, 0, data)
		}
		r.Done(Answer{})
	}}
	b.ResetTimer()
	out := d.Run(b.Context(), Spec{RequestID: "r", Idempotent: true, ProgressTimeout: time.Minute, Deadline: time.Now().Add(time.Hour), MaxAttempts: 1}, t, discard{}, nil, nil)
	if out.Err != nil || out.Events != uint64(b.N) {
		b.Fatal(out)
	}
}

type discard struct{}

func (discard) Event(uint64, []byte) error { return nil }
