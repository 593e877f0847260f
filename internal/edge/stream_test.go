package edge_test

import (
	"fmt"
	"io"
	"net"
	"strings"
	"syscall"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/cranberrypier/cranberrypier/internal/fake/platformside"
)

// streamOf returns a range of the events of a model's response to a request.
func streamOf(id, model string, from, to int) string {
	var b strings.Builder
	for i := from; i <= to; i++ {
		b.WriteString(platformside.Event(id, model, i))
	}
	return b.String()
}

const eventsPerStream = 8 // number of events that a replica sends by default

func TestStream(t *testing.T) {
	s := newStandardSite(t)
	g := s.do(chat("a"))
	require.NoError(t, g.err)
	assert.Equal(t, 200, g.status)
	assert.Equal(t, streamOf("a", "small", 1, eventsPerStream), g.body, "the small model's confidence is high")
	assert.NotEmpty(t, g.header.Get("X-Response-Signature"))
}

func TestStreamOfANamedModel(t *testing.T) {
	s := newStandardSite(t)
	c := chat("a")
	c.header["X-Model"] = "large"
	assert.Equal(t, streamOf("a", "large", 1, eventsPerStream), s.do(c).body)
}

func TestCallerResumes(t *testing.T) {
	s := newStandardSite(t)
	c := chat("a")
	c.header["Last-Event-Id"] = "5"
	assert.Equal(t, streamOf("a", "small", 6, eventsPerStream), s.do(c).body)
}

func setSmallModelConfidence(s *site, confidence int) {
	for _, p := range s.replicas {
		p.Confidence = map[string]int{"small": confidence}
	}
}

func TestLowConfidenceEscalatesToLargerModel(t *testing.T) {
	s := newStandardSite(t)
	setSmallModelConfidence(s, 5)
	g := s.do(chat("a"))
	require.NoError(t, g.err)
	assert.Equal(t, streamOf("a", "large", 1, eventsPerStream), g.body)
	runs := s.runs("a")
	require.Len(t, runs, 2)
	assert.NotEqual(t, runs[0].Replica, runs[1].Replica, "the second response comes from another replica")
}

func TestEscalationStaysWithinMaxRuns(t *testing.T) {
	s := newStandardSite(t)
	s.setFaults("e", platformside.ReplicaFaults{Torn: true})
	setSmallModelConfidence(s, 5)
	s.do(chat("a"))
	assert.LessOrEqual(t, len(s.runs("a")), 3)
}

// Two of the three replicas truncate every stream after a few events. The
// stream must resume at another replica under the first replica's head, with no
// event missing or duplicated.
func TestTruncatedStreamResumes(t *testing.T) {
	s := newStandardSite(t)
	for _, id := range []string{"e0", "e1"} {
		s.replicas[id].SetFaults(platformside.ReplicaFaults{Torn: true})
	}
	truncated := false
	for i, id := range strings.Split("abcdefghijkl", "") {
		c := chat(id)
		c.header["X-Prefix-Hash"] = fmt.Sprintf("%x:800,bb:660", i) // spreads the prompts' preferred upstreams over all replicas
		g := s.do(c)
		require.NoError(t, g.err, id)
		assert.Equal(t, streamOf(id, "small", 1, eventsPerStream), g.body)
		runs := s.runs(id)
		truncated = truncated || len(runs) > 1
		first := runs[0]
		for _, r := range runs {
			if r.LastEventID == "" {
				first = r
			}
		}
		assert.Equal(t, platformside.Signature(first.Replica, id, 200, "small"), g.header.Get("X-Response-Signature"))
	}
	assert.True(t, truncated, "no stream was truncated")
}

// Guards against a truncated stream that looks complete to the caller. Every
// replica truncates its streams, and a stream of 30 events can't be completed
// within three runs.
func TestFailedStreamIsAborted(t *testing.T) {
	s := newStandardSite(t)
	s.setFaults("e", platformside.ReplicaFaults{Torn: true})
	setSmallModelConfidence(s, 100)
	g := s.do(chat("a"))
	if g.err == nil {
		assert.Equal(t, streamOf("a", "small", 1, eventsPerStream), g.body, "three runs may be enough for a complete stream")
	}
	for _, p := range s.replicas {
		p.Events = 30
	}
	g = s.do(chat("b"))
	require.Error(t, g.err)
	assert.True(t, strings.HasPrefix(streamOf("b", "small", 1, 30), g.body), "the received events are a correct prefix of the stream")
}

// Guards against a stream that ends as complete although its upstream broke it off
// inside an event, on a connection whose end is the only mark of the body's end.
func TestStreamBrokenOffInsideAnEventEndsAsComplete(t *testing.T) {
	for _, resumable := range []bool{true, false} {
		t.Run(fmt.Sprint("resumable ", resumable), func(t *testing.T) {
			s := newSite(t)
			list := routes()
			list[0]["resumable"] = resumable
			s.startDefaultsWith(list)
			for _, id := range []string{"e0", "e1"} {
				s.replicas[id].SetFaults(platformside.ReplicaFaults{Torn: true, Unframed: true})
			}
			s.replicas["e2"].SetFaults(platformside.ReplicaFaults{Unframed: true})
			brokenOff := false
			for i, id := range strings.Split("abcdefghijkl", "") {
				c := chat(id)
				c.header["X-Prefix-Hash"] = fmt.Sprintf("%x:800,bb:660", i)
				g := s.do(c)
				whole := streamOf(id, "small", 1, eventsPerStream)
				runs := s.runs(id)
				if resumable || runs[0].Replica == "e2" {
					assert.NoError(t, g.err, id)
					assert.Equal(t, whole, g.body)
				} else {
					assert.Error(t, g.err, "%s looks complete: %q", id, g.body)
					assert.Equal(t, streamOf(id, "small", 1, 2), g.body, "part of an event was forwarded")
				}
				brokenOff = brokenOff || len(runs) > 1 || runs[0].Replica != "e2"
			}
			assert.True(t, brokenOff, "no stream was broken off")
		})
	}
}

// Guards against a complete-looking stream without any event.
func TestStreamWithoutEventsEndsAsComplete(t *testing.T) {
	s := newStandardSite(t)
	s.setFaults("e", platformside.ReplicaFaults{Unframed: true})
	for _, p := range s.replicas {
		p.Events = 0
	}
	assert.Error(t, s.do(chat("a")).err)
}

// Guards against an aborted stream that looks complete to a caller that speaks
// HTTP/1.0, to which streams are sent without chunks.
func TestAbortedStreamEndsAsCompleteForHTTP10(t *testing.T) {
	s := newSite(t)
	list := routes()
	list[0]["resumable"] = false
	s.startDefaultsWith(list)
	s.setFaults("e", platformside.ReplicaFaults{Torn: true})
	conn, err := net.Dial("tcp", s.vms[0].settings.CallerAddress)
	require.NoError(t, err)
	defer func() { _ = conn.Close() }()
	_, err = fmt.Fprintf(conn, "POST /chat/x HTTP/1.0\r\nHost: %s\r\nX-Attempt-Id: a\r\nApi-Key: %s\r\nX-Model: *\r\nX-Deadline-Ms: 4000\r\nContent-Length: 0\r\n\r\n", host, key)
	require.NoError(t, err)
	_, err = io.ReadAll(conn)
	assert.ErrorIs(t, err, syscall.ECONNRESET)
}

func TestStreamRejectedByAllReplicas(t *testing.T) {
	s := newStandardSite(t)
	s.setFaults("e", platformside.ReplicaFaults{Reject: true})
	g := s.do(chat("a"))
	assert.Equal(t, 503, g.status)
	assert.NotEmpty(t, g.header.Get("Retry-After"))
	assert.Empty(t, s.runs("a"))
}

// Guards against events of concurrent streams that get mixed up.
func TestManyStreams(t *testing.T) {
	s := newStandardSite(t)
	s.replicas["e0"].SetFaults(platformside.ReplicaFaults{LoseAnswer: true})
	for i, g := range s.doConcurrently(40, func(i int) call { return chat(string(rune('A' + i))) }) {
		id := string(rune('A' + i))
		if assert.NoError(t, g.err) && g.status == 200 {
			assert.Equal(t, streamOf(id, "small", 1, eventsPerStream), g.body)
		}
	}
}
