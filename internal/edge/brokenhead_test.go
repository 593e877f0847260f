package edge_test

import (
	"fmt"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"github.com/cranberrypier/cranberrypier/internal/fake/rawpeer"
)

// validFields are the fields of an answer. In raw responses, %[1]s stands for the request's
// ID, %[2]s for a body of the form that the request expects, and %[3]d for its length.
const validFields = "X-Attempt-Id: %[1]s\r\nX-Response-Signature: sig.%[1]s\r\nX-Confidence: 100\r\n"

// assertNoAnswers sends a request for each of the raw responses, to upstreams and through
// another VM. It must get an error of the VM, which says that the request may have run, or,
// once a stream has begun, a visible end.
func assertNoAnswers(t *testing.T, responses map[string]string) {
	t.Helper()
	for _, form := range onceForms {
		for _, forwarded := range []bool{false, true} {
			t.Run(fmt.Sprintf("%s, forwarded %t", form.name, forwarded), func(t *testing.T) {
				var response atomic.Pointer[string]
				var requests atomic.Int64
				respond := func(conn *net.TCPConn, req *http.Request) {
					requests.Add(1)
					rawpeer.Respond(conn, req, fmt.Sprintf(*response.Load(), req.Header.Get("X-Attempt-Id"), form.body, len(form.body)))
				}
				s, metric := newRawSite(t, form.path, respond, forwarded, &response)
				for name, raw := range responses {
					response.Store(&raw)
					before, sent := max(s.metric(metric), 0), requests.Load()
					g := s.do(call{id: fmt.Sprint("r", sent), path: form.path, key: key, header: map[string]string{"X-Model": "*"}})
					if g.status == http.StatusOK && form.path == streamPath {
						assert.Error(t, g.err, "%s: the stream looks complete: %q", name, g.body)
					} else {
						assert.NoError(t, g.err, name)
						assert.Equal(t, http.StatusBadGateway, g.status, "%s: %q", name, g.body)
						assert.Contains(t, g.body, `"run":"unknown"`, name)
						assert.Empty(t, g.header.Get("X-Response-Signature"), name)
					}
					assert.EqualValues(t, 1, requests.Load()-sent, "%s: requests that were sent", name)
					assert.EqualValues(t, 1, s.metric(metric)-before, "%s: %s", name, metric)
				}
			})
		}
	}
}

// newRawSite returns a site whose upstreams of both services, or the other VMs that reach
// them, give raw responses. It also returns the metric that counts those that are broken.
func newRawSite(t *testing.T, path string, respond func(*net.TCPConn, *http.Request), forwarded bool, response *atomic.Pointer[string]) (s *site, metric string) {
	t.Helper()
	d := &cutDialer{}
	s = newSite(t)
	s.dial["vm-1"], s.metrics = d.dial, freeAddress(t)
	s.configure(append(routes(), streamRoute("draft", false)), key)
	const peers = 8 // one that fails is left out for a moment
	for i := range peers {
		s.putEntry(fmt.Sprint("o", i), orders, rawpeer.Start(t, respond), nil)
		s.putEntry(fmt.Sprint("e", i), engine, rawpeer.Start(t, respond), nil)
	}
	s.startVM("vm-1")
	if !forwarded {
		return s, `pier_attempt_ends_total{cause="invalid_response"}`
	}
	for i := range peers {
		s.announceVM(s.vms[0], fmt.Sprint("vm-raw-", i), rawpeer.Start(t, respond))
	}
	time.Sleep(500 * time.Millisecond) // the VM hears of them
	d.cut.Store(true)
	rejection := "HTTP/1.1 503 Full\r\nX-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n"
	response.Store(&rejection)
	s.do(call{id: "warm", path: path, key: key, header: map[string]string{"X-Model": "*"}})
	return s, `pier_forwards_total{result="broken"}`
}

// Guards against a response with an impossible status that reaches the caller, or ends its
// connection without a response.
func TestResponseWithAnImpossibleStatusIsNoAnswer(t *testing.T) {
	responses := make(map[string]string)
	for _, status := range []string{"000", "001", "099", "+20", "-00", "101", "600", "999", "20", "2000", "abc"} {
		responses[status] = "HTTP/1.1 " + status + " Status\r\n" + validFields + "Connection: close\r\n\r\n%[2]s"
		responses[status+", rejection"] = "HTTP/1.1 " + status + " Status\r\n" + validFields + "X-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n"
	}
	responses["switch of protocols"] = "HTTP/1.1 101 Switching Protocols\r\n" + validFields + "Connection: Upgrade\r\nUpgrade: other\r\n\r\n%[2]s"
	assertNoAnswers(t, responses)
}

// brokenFields are lines of a head or a trailer whose name is not valid.
var brokenFields = map[string]string{
	"blank in the name":             "X Name: 1",
	"blank after the name":          "X-Name : 1",
	"blank after Content-Length":    "Content-Length : 3",
	"blank after Transfer-Encoding": "Transfer-Encoding : chunked",
	"tab in the name":               "X\tName: 1",
	"tab after the name":            "X-Name\t: 1",
	"control byte":                  "X-\x01Name: 1",
	"zero byte":                     "X-Name\x00: 1",
	"delete":                        "X-\x7fName: 1",
	"carriage return":               "X-\rName: 1",
}

// Guards against a response that reaches the caller although the name of a field is not
// valid: with that line, or with a body that is not the upstream's.
func TestResponseWithAnInvalidFieldNameIsNoAnswer(t *testing.T) {
	const (
		ok      = "HTTP/1.1 200 OK\r\n" + validFields
		toClose = "Connection: close\r\n\r\n%[2]s"
		length  = "Content-Length: %[3]d\r\n\r\n%[2]s"
		chunks  = "Transfer-Encoding: chunked\r\n\r\n%[3]x\r\n%[2]s\r\n0\r\n"
	)
	responses := make(map[string]string)
	for name, line := range brokenFields {
		responses[name+", head"] = ok + line + "\r\n" + toClose
		responses[name+", head with a length"] = ok + line + "\r\n" + length
		responses[name+", head of a rejection"] = "HTTP/1.1 503 Full\r\nX-Not-Executed: 1\r\n" + line + "\r\nContent-Length: 0\r\n\r\n"
		responses[name+", interim head"] = "HTTP/1.1 103 Early Hints\r\nLink: <x>\r\n" + line + "\r\n\r\n" + ok + toClose
		responses[name+", trailer"] = ok + chunks + "X-Sum: 1\r\n" + line + "\r\n\r\n"
		responses[name+", announced trailer"] = ok + "Trailer: X-Sum\r\n" + chunks + "X-Sum: 1\r\n" + line + "\r\n\r\n"
	}
	assertNoAnswers(t, responses)
}

// Guards against a line that begins with a blank and becomes part of the value before it,
// such as the signature.
func TestResponseWithAFoldedLineIsNoAnswer(t *testing.T) {
	const ok, body = "HTTP/1.1 200 OK\r\n", "Content-Length: %[3]d\r\n\r\n%[2]s"
	responses := make(map[string]string)
	for name, line := range map[string]string{"blank": " X-Name: 1\r\n", "tab": "\tX-Name: 1\r\n", "only a blank": " \r\n"} {
		responses[name+", after the signature"] = ok + "X-Attempt-Id: %[1]s\r\nX-Confidence: 100\r\nX-Response-Signature: sig.%[1]s\r\n" + line + body
		responses[name+", first line"] = ok + line + validFields + body
		responses[name+", interim head"] = "HTTP/1.1 103 Early Hints\r\nLink: <x>\r\n" + line + "\r\n" + ok + validFields + body
	}
	assertNoAnswers(t, responses)
}

// Guards against the refusal of a response whose status is unusual, but possible.
func TestResponseWithAnUnusualStatusIsAnAnswer(t *testing.T) {
	var status atomic.Int64
	s := newSite(t)
	s.configure(routes(), key)
	s.rawReplica("o1", orders, func(_ int32, id string) string {
		return fmt.Sprintf("HTTP/1.1 %[4]d Status\r\n"+validFields+"Content-Length: %[3]d\r\n\r\n%[2]s", id, "body", len("body"), status.Load())
	})
	s.startVM("vm-1")
	for _, want := range []int{200, 226, 299, 399, 418, 499, 599} {
		status.Store(int64(want))
		g := s.do(call{id: fmt.Sprint("r", want), path: plainPath, key: key})
		assert.Equal(t, want, g.status)
		assert.Equal(t, "body", g.body)
	}
}
