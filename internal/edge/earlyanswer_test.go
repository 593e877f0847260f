package edge_test

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"github.com/cranberrypier/cranberrypier/internal/edge"
	"github.com/cranberrypier/cranberrypier/internal/fake/rawpeer"
)

// uploadReading is how an upstream reads an upload while it answers.
type uploadReading string

const (
	readsFast    uploadReading = "reads fast"
	readsSlowly  uploadReading = "reads slowly"
	readsNothing uploadReading = "reads nothing"
)

// earlyReplica is an upstream, or a VM, that answers uploads at once and without a length,
// and resets the connection while the upload is written.
type earlyReplica struct {
	reading uploadReading
	// body is all that it sends of its answer before it resets the connection.
	body string
	// reached are the IDs of the requests that it answered.
	reached sync.Map
	resets  atomic.Int64
}

// Sizes of uploads in bytes.
const (
	minUpload = 700 << 10
	maxUpload = 1 << 20
)

// Paths of routes whose requests may run once.
const plainPath, streamPath = "/once/x", "/draft/x"

// respond serves one request.
func (e *earlyReplica) respond(conn *net.TCPConn, req *http.Request) {
	id := req.Header.Get("X-Attempt-Id")
	e.reached.Store(id, true)
	e.resets.Add(1)
	response := fmt.Sprintf("HTTP/1.1 200 OK\r\nX-Attempt-Id: %s\r\nX-Response-Signature: sig.%s\r\nX-Confidence: 100\r\nConnection: close\r\n\r\n%s", id, id, e.body)
	switch e.reading {
	case readsFast:
		rawpeer.ResetDuringUpload(conn, req, response, rand.IntN(minUpload))
	case readsSlowly:
		req.Body = io.NopCloser(slowReader{req.Body})
		rawpeer.ResetDuringUpload(conn, req, response, rand.IntN(80<<10))
	case readsNothing:
		rawpeer.ResetDuringUpload(conn, req, response, 0)
	}
}

// slowReader reads 4 KB in a millisecond.
type slowReader struct{ r io.Reader }

func (s slowReader) Read(p []byte) (int, error) {
	time.Sleep(time.Millisecond)
	return s.r.Read(p[:min(len(p), 4<<10)])
}

const (
	// earlyCallers is the number of callers that send uploads at the same time, each of
	// which may use another upstream.
	earlyCallers = 8
	// earlyDeadline leaves uploads time on a busy machine: a deadline is another cause.
	earlyDeadline = 20 * time.Second
)

// newEarlySite returns a site in which the upstreams of both services are replicas that
// answer early.
func newEarlySite(t *testing.T, e *earlyReplica, dial edge.DialFunc) *site {
	t.Helper()
	s := newSite(t)
	s.dial["vm-1"], s.metrics = dial, freeAddress(t)
	list := append(routes(), streamRoute("draft", false))
	for _, r := range list {
		r["timeoutMs"] = earlyDeadline.Milliseconds()
	}
	s.configure(list, key)
	for i := range earlyCallers {
		s.putEntry(fmt.Sprint("o", i), orders, rawpeer.Start(t, e.respond), nil)
		s.putEntry(fmt.Sprint("e", i), engine, rawpeer.Start(t, e.respond), nil)
	}
	s.startVM("vm-1")
	return s
}

// assertNoPartLooksWhole sends uploads to the first VM, each of which gets a part of an
// answer.
func (e *earlyReplica) assertNoPartLooksWhole(s *site, path string, uploads int) {
	s.t.Helper()
	var looksWhole, cut, untrue atomic.Int64
	var wait sync.WaitGroup
	for c := range earlyCallers {
		wait.Go(func() {
			for i := c; i < uploads; i += earlyCallers {
				id := fmt.Sprint("r", i)
				body := strings.Repeat("x", minUpload+rand.IntN(maxUpload-minUpload))
				g := s.do(call{id: id, path: path, key: key, body: body, deadline: earlyDeadline, header: map[string]string{"X-Model": "*"}})
				_, reached := e.reached.Load(id)
				switch {
				case g.err != nil:
					cut.Add(1)
				case g.status == http.StatusOK:
					looksWhole.Add(1)
				case reached && (g.status != http.StatusBadGateway || !strings.Contains(g.body, `"run":"unknown"`)):
					untrue.Add(1)
				}
			}
		})
	}
	wait.Wait()
	s.t.Logf("%d of %d uploads were answered and reset; %d looked whole", e.resets.Load(), uploads, looksWhole.Load())
	assert.Zero(s.t, looksWhole.Load(), "parts that look whole")
	assert.Zero(s.t, untrue.Load(), "answers that do not say that the request may have run")
	if path == plainPath {
		assert.Zero(s.t, cut.Load(), "requests without an answer of the VM")
	}
	assert.Greater(s.t, e.resets.Load(), int64(uploads/2), "uploads that were reset")
}

// onceForms are the forms of requests that may run once, with a body of the response.
var onceForms = []struct{ name, path, service, body string }{
	{"plain", plainPath, orders, "some text"},
	{"stream", streamPath, engine, "id: 1\ndata: a b\n\n"},
}

// Guards against a part of an answer that looks whole to the caller because the upstream
// reset the connection while the upload was written to it.
func TestAnswerResetDuringTheUploadLooksWhole(t *testing.T) {
	const uploads = 400
	for _, form := range onceForms {
		for _, reading := range []uploadReading{readsFast, readsSlowly, readsNothing} {
			t.Run(fmt.Sprintf("%s, upstream %s", form.name, reading), func(t *testing.T) {
				e := &earlyReplica{reading: reading, body: form.body}
				s := newEarlySite(t, e, nil)
				e.assertNoPartLooksWhole(s, form.path, uploads)
				assert.EqualValues(t, e.resets.Load(), s.metric(`pier_attempt_ends_total{cause="reset"}`))
			})
		}
	}
}

// Guards against the same part of an answer that comes from another VM, to which the
// request is forwarded.
func TestForwardedAnswerResetDuringTheUploadLooksWhole(t *testing.T) {
	const uploads = 400
	for _, form := range onceForms {
		for _, reading := range []uploadReading{readsFast, readsNothing} {
			t.Run(fmt.Sprintf("%s, VM %s", form.name, reading), func(t *testing.T) {
				d := &cutDialer{}
				e := &earlyReplica{reading: reading, body: form.body}
				s := newEarlySite(t, e, d.dial)
				for i := range earlyCallers {
					s.announceVM(s.vms[0], fmt.Sprint("vm-early-", i), rawpeer.Start(t, e.respond))
				}
				time.Sleep(500 * time.Millisecond) // the VM hears of them
				d.cut.Store(true)
				s.do(call{id: "warm", path: form.path, key: key, header: map[string]string{"X-Model": "*"}})
				e.assertNoPartLooksWhole(s, form.path, uploads)
			})
		}
	}
}
