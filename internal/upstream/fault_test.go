package upstream_test

import (
	"context"
	"encoding/json"
	"errors"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/cranberrypier/cranberrypier/internal/document"
	"github.com/cranberrypier/cranberrypier/internal/fake/engine"
	"github.com/cranberrypier/cranberrypier/internal/fake/executions"
	"github.com/cranberrypier/cranberrypier/internal/fake/faults"
	"github.com/cranberrypier/cranberrypier/internal/fake/plainservice"
	"github.com/cranberrypier/cranberrypier/internal/placement"
	"github.com/cranberrypier/cranberrypier/internal/result"
	"github.com/cranberrypier/cranberrypier/internal/upstream"
)

const (
	target = "draft@v1"
	tokens = 12
	prompt = "a pattern for a horn"
	// longTimeout is a timeout that no working stream reaches.
	longTimeout = time.Minute
	// shortTimeout is a timeout that only a stalled stream reaches.
	shortTimeout = 2 * time.Second
)

func newEngine(t *testing.T, change func(*engine.Settings)) *engine.Engine {
	set := engine.Settings{
		Versions:  []engine.VersionSettings{{Name: target, Quality: 0.8}, {Name: "draft@v2", NotLoaded: true}},
		MinTokens: tokens, MaxTokens: tokens, Limit: 4,
	}
	if change != nil {
		change(&set)
	}
	e := engine.New("engine-1", set)
	require.NoError(t, e.Server.Start("127.0.0.1:0"))
	t.Cleanup(func() { _ = e.Server.Close() })
	return e
}

func newClient(t *testing.T, firstEventTimeout, eventTimeout time.Duration) *upstream.Client {
	c := upstream.New(upstream.Config{EventTimeout: eventTimeout, FirstEventTimeout: firstEventTimeout, VM: "vm-1", Zone: "z1", MaxResponseSize: 4096}, nil)
	t.Cleanup(c.Close)
	return c
}

func chatBody(prompt string) []byte {
	raw, _ := json.Marshal(map[string]any{
		"model": target, "stream": true, "messages": []map[string]string{{"role": "user", "content": prompt}},
	})
	return raw
}

// readStream runs one attempt and returns the text and the id of the last event.
func readStream(ctx context.Context, c *upstream.Client, addr string, r upstream.StreamRequest) (text string, last uint64, err error) {
	s, err := c.Stream(ctx, addr, r)
	if err != nil {
		return "", 0, err
	}
	defer s.Close()
	for {
		e, err := s.Next()
		if errors.Is(err, io.EOF) {
			return text, last, nil
		}
		if err != nil {
			return text, last, err
		}
		var chunk struct {
			Choices []struct{ Delta struct{ Content string } }
		}
		if err := json.Unmarshal(e.Data, &chunk); err != nil {
			return text, last, err
		}
		text += chunk.Choices[0].Delta.Content
		last = e.ID
	}
}

// TestStreamFaults guards against failures of a stream that are classified
// wrongly: a truncated stream as complete, or a request as not sent although it
// may have run.
func TestStreamFaults(t *testing.T) {
	want := engine.NewAnswer(target, prompt+"\n", 0.8, engine.AnswerShape{MinTokens: tokens, MaxTokens: tokens}, 0).Text()
	for _, c := range []struct {
		name              string
		faults            faults.Faults
		firstEventTimeout time.Duration
		eventTimeout      time.Duration
		end               placement.End
		code              result.Code
		sent              bool
		// resumes is true if resuming the same request completes the text.
		resumes bool
		outcome executions.Outcome
	}{
		{"without faults the answer is complete", faults.Faults{}, longTimeout, longTimeout, placement.EndOK, 0, true, false, executions.Done},
		{"a stream truncated after five tokens resumes after them", faults.Faults{Cut: &faults.Rule{After: 5, Times: 1}}, longTimeout, longTimeout, placement.EndReset, result.AnswerTruncated, true, true, executions.Cut},
		{"a stream without terminator is truncated", faults.Faults{LostAnswer: &faults.Rule{Times: 1}}, longTimeout, longTimeout, placement.EndReset, result.AnswerTruncated, true, true, executions.LostAnswer},
		{"a stall after three tokens is detected", faults.Faults{Silent: &faults.Rule{After: 3, Times: 1}}, longTimeout, shortTimeout, placement.EndStalled, result.UpstreamFailed, true, true, executions.Silent},
		{"a stall before the first token is detected", faults.Faults{Silent: &faults.Rule{Times: 1}}, shortTimeout, longTimeout, placement.EndStalled, result.UpstreamFailed, true, true, ""},
		{"a response to another request is rejected", faults.Faults{Crossed: &faults.Rule{Times: 1}}, longTimeout, longTimeout, placement.EndReset, result.AnswerMismatch, true, true, executions.Crossed},
		{"a leaving engine rejects the request without running it", faults.Faults{Leaving: true}, longTimeout, longTimeout, placement.EndRejected, result.UpstreamFailed, false, false, executions.Rejected},
		{"a prompt that crashes the engine breaks the connection", faults.Faults{CrashOn: "horn"}, longTimeout, longTimeout, placement.EndReset, result.UpstreamFailed, true, false, executions.Crashed},
		{"a bad version fails with an error status", faults.Faults{BadVersions: map[string]faults.BadVersion{target: {ErrorRate: 1}}}, longTimeout, longTimeout, placement.EndStatus, result.UpstreamFailed, true, false, executions.Failed},
		{"a partition breaks the call", faults.Faults{CutFrom: []string{"z1"}}, longTimeout, longTimeout, placement.EndReset, result.UpstreamFailed, true, false, ""},
		{"a partition that lets calls hang is detected", faults.Faults{CutFrom: []string{"vm-1"}, CutSilent: true}, shortTimeout, longTimeout, placement.EndStalled, result.UpstreamFailed, true, false, ""},
		{"a partition of another zone has no effect", faults.Faults{CutFrom: []string{"z2"}}, longTimeout, longTimeout, placement.EndOK, 0, true, false, executions.Done},
	} {
		t.Run(c.name, func(t *testing.T) {
			e := newEngine(t, nil)
			client := newClient(t, c.firstEventTimeout, c.eventTimeout)
			e.Server.Switches.Set(c.faults)
			req := upstream.StreamRequest{RequestID: "r-1", Body: chatBody(prompt)}
			text, last, err := readStream(t.Context(), client, e.Server.Address(), req)
			if c.outcome != "" {
				require.Eventually(t, func() bool { return e.Server.Log.Since(0)[0].Outcome == c.outcome }, 10*time.Second, time.Millisecond)
			}
			if c.end == placement.EndOK {
				require.NoError(t, err)
				require.Equal(t, want, text)
				return
			}
			f := upstream.FailureOf(err)
			require.Equal(t, c.end, f.End, "%v", err)
			require.Equal(t, c.code, result.From(err).Code, "%v", err)
			require.Equal(t, c.sent, f.Sent)
			require.Equal(t, c.sent, result.From(err).Run != result.NotRun, "only an unsent request is reported as not run")
			require.Equal(t, c.end == placement.EndStalled, errors.Is(err, upstream.ErrStalled))
			if c.resumes {
				req.LastEventID = strconv.FormatUint(last, 10)
				rest, _, err := readStream(t.Context(), newClient(t, longTimeout, longTimeout), e.Server.Address(), req)
				require.NoError(t, err)
				require.Equal(t, want, text+rest)
			}
		})
	}
}

func TestUnreachableIsNotSent(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	require.NoError(t, l.Close())
	c := newClient(t, longTimeout, longTimeout)
	_, err = c.Stream(t.Context(), l.Addr().String(), upstream.StreamRequest{RequestID: "r", Body: chatBody("x")})
	f := upstream.FailureOf(err)
	require.Equal(t, placement.EndUnreachable, f.End)
	require.False(t, f.Sent)
	_, err = c.Do(t.Context(), l.Addr().String(), upstream.CallRequest{Method: http.MethodPost, Path: "/x"})
	require.Equal(t, result.NotRun, result.From(err).Run)
}

func TestCancelReachesTheEngine(t *testing.T) {
	e := newEngine(t, func(s *engine.Settings) { s.TokensPerSecond = 1 })
	c := newClient(t, longTimeout, longTimeout)
	ctx, cancel := context.WithCancel(t.Context())
	s, err := c.Stream(ctx, e.Server.Address(), upstream.StreamRequest{RequestID: "r", Body: chatBody("x")})
	require.NoError(t, err)
	defer s.Close()
	cancel()
	_, err = s.Next()
	require.Equal(t, placement.EndCanceled, upstream.FailureOf(err).End)
	require.True(t, result.Is(err, result.CallerGone))
	require.Eventually(t, func() bool { return e.Server.Log.Since(0)[0].Outcome == executions.Canceled }, 10*time.Second, time.Millisecond)
}

// TestCallFaults guards against failures of a call that are classified wrongly: a
// truncated response as complete, or a call as not sent although it may have run.
func TestCallFaults(t *testing.T) {
	for _, c := range []struct {
		name   string
		faults faults.Faults
		end    placement.End
		code   result.Code
	}{
		{"no fault", faults.Faults{}, placement.EndOK, 0},
		{"a response lost after the write", faults.Faults{LostAnswer: &faults.Rule{}}, placement.EndReset, result.UpstreamFailed},
		{"a truncated body", faults.Faults{Cut: &faults.Rule{}}, placement.EndReset, result.AnswerTruncated},
		{"a response to another call", faults.Faults{Crossed: &faults.Rule{}}, placement.EndReset, result.AnswerMismatch},
		{"no response within the timeout", faults.Faults{Silent: &faults.Rule{}}, placement.EndCanceled, result.DeadlineExceeded},
	} {
		t.Run(c.name, func(t *testing.T) {
			s := plainservice.New("orders", plainservice.Settings{})
			require.NoError(t, s.Server.Start("127.0.0.1:0"))
			t.Cleanup(func() { _ = s.Server.Close() })
			client := newClient(t, longTimeout, longTimeout)
			s.Server.Switches.Set(c.faults)
			r := upstream.CallRequest{
				RequestID: "r-1", Method: http.MethodPost, Path: "/confirmations?x=1", Body: []byte("{}"), ClaimKey: "k-1",
				Header: http.Header{"Idempotency-Key": {"k-1"}, "Authorization": {"Bearer secret"}},
			}
			if c.end == placement.EndCanceled {
				r.Timeout = shortTimeout
			}
			resp, err := client.Do(t.Context(), s.Server.Address(), r)
			if c.end == placement.EndOK {
				require.NoError(t, err)
				require.Equal(t, http.StatusOK, resp.Status)
				require.Contains(t, string(resp.Body), `"record":1`)
			} else {
				require.Equal(t, c.end, upstream.FailureOf(err).End, "%v", err)
				require.Equal(t, c.code, result.From(err).Code, "%v", err)
				require.True(t, upstream.FailureOf(err).Sent)
			}
			if c.end != placement.EndCanceled {
				rows := s.Server.Log.Since(0)
				require.Len(t, rows, 1)
				require.Equal(t, "k-1", rows[0].ClaimKey)
			}
		})
	}
}

func TestControlCalls(t *testing.T) {
	e := newEngine(t, func(s *engine.Settings) { s.Fencing, s.ColdTime = true, document.Duration(time.Hour) })
	c := newClient(t, longTimeout, longTimeout)
	ctx, addr := t.Context(), e.Server.Address()
	_, _, err := readStream(ctx, c, addr, upstream.StreamRequest{RequestID: "r", Body: chatBody("x")})
	require.NoError(t, err)
	load, err := c.Load(ctx, addr)
	require.NoError(t, err)
	require.Equal(t, "cold", load.State)
	require.Equal(t, []string{target}, load.Loaded)
	events, next, err := c.CacheEvents(ctx, addr, 0)
	require.NoError(t, err)
	require.Len(t, events, 1)
	require.Equal(t, uint64(1), next)
	order := upstream.Order{Op: "load", Version: "draft@v2", Fence: 7}
	require.NoError(t, c.Order(ctx, addr, order))
	require.NoError(t, c.Order(ctx, addr, order), "repeating an order must be harmless")
	order.Fence = 6
	require.True(t, result.Is(c.Order(ctx, addr, order), result.OrderRefused))
	e.Server.Switches.Set(faults.Faults{IgnoreFencing: true})
	require.NoError(t, c.Order(ctx, addr, order))
	require.Equal(t, 1, e.Counters().StaleOrders)
	load, err = c.Load(ctx, addr)
	require.NoError(t, err)
	require.Len(t, load.Loaded, 2)
}

func TestAnswersAreBounded(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	srv := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("X-Request-Id", r.Header.Get("X-Request-Id"))
		_, _ = io.WriteString(w, "data: "+strings.Repeat("x", 80<<10))
	})}
	go func() { _ = srv.Serve(l) }()
	t.Cleanup(func() { _ = srv.Close() })
	c := newClient(t, longTimeout, longTimeout)
	_, err = c.Do(t.Context(), l.Addr().String(), upstream.CallRequest{Method: http.MethodGet, Path: "/", Idempotent: true})
	require.True(t, result.Is(err, result.AnswerTooLarge), "%v", err)
	_, _, err = readStream(t.Context(), c, l.Addr().String(), upstream.StreamRequest{RequestID: "r", Body: chatBody("x")})
	require.True(t, result.Is(err, result.AnswerTruncated), "%v", err)
}
