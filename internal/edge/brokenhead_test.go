package edge_test

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"github.com/cranberrypier/cranberrypier/internal/fake/rawpeer"
)

// brokenResponse is the raw response to a request. %[1]s stands for its ID, %[2]s for a body
// of the form that the request expects, and %[3]d for the length of that.
type brokenResponse string

const validFields = "X-Attempt-Id: %[1]s\r\nX-Response-Signature: sig.%[1]s\r\nX-Confidence: 100\r\n"

// assertIsNoAnswer sends requests whose responses are broken, directly and through another
// VM. Each must get an error of the VM, which says that the request may have run, or, once a
// stream has begun, a visible end.
func (b brokenResponse) assertIsNoAnswer(t *testing.T) {
	t.Helper()
	for _, form := range onceForms {
		for _, forwarded := range []bool{false, true} {
			t.Run(fmt.Sprintf("%s, forwarded %t", form.name, forwarded), func(t *testing.T) {
				t.Parallel()
				var requests atomic.Int64
				address := rawpeer.Start(t, func(conn *net.TCPConn, req *http.Request) {
					_, _ = io.Copy(io.Discard, req.Body)
					requests.Add(1)
					_, _ = fmt.Fprintf(conn, string(b), req.Header.Get("X-Attempt-Id"), form.body, len(form.body)) // the VM may have closed the connection
				})
				d := &cutDialer{}
				s := newSite(t)
				s.dial["vm-1"], s.metrics = d.dial, freeAddress(t)
				s.configure(append(routes(), streamRoute("draft", false)), key)
				s.putEntry("raw", form.service, address, nil)
				s.startVM("vm-1")
				metric := `pier_attempt_ends_total{cause="invalid_response"}`
				if forwarded {
					s.announceVM(s.vms[0], "vm-raw", address)
					time.Sleep(500 * time.Millisecond) // the VM hears of it
					d.cut.Store(true)
					s.do(call{id: "warm", path: form.path, key: key, header: map[string]string{"X-Model": "*"}})
					metric = `pier_forwards_total{result="broken"}`
				}
				before, sent := max(s.metric(metric), 0), requests.Load()
				g := s.do(call{id: "r1", path: form.path, key: key, header: map[string]string{"X-Model": "*"}})
				if g.status == http.StatusOK && form.path == streamPath {
					assert.Error(t, g.err, "the stream looks complete: %q", g.body)
				} else {
					assert.NoError(t, g.err)
					assert.Equal(t, http.StatusBadGateway, g.status, "%q", g.body)
					assert.Contains(t, g.body, `"run":"unknown"`)
					assert.Empty(t, g.header.Get("X-Response-Signature"))
				}
				assert.EqualValues(t, 1, requests.Load()-sent, "requests that were sent")
				assert.EqualValues(t, 1, s.metric(metric)-before, metric)
			})
		}
	}
}

// Guards against a response with an impossible status that reaches the caller, or ends its
// connection without a response.
func TestResponseWithAnImpossibleStatusIsNoAnswer(t *testing.T) {
	for _, status := range []string{"000", "001", "099", "+20", "-00", "101", "600", "999", "20", "2000", "abc"} {
		t.Run(status, func(t *testing.T) {
			t.Parallel()
			brokenResponse("HTTP/1.1 " + status + " Status\r\n" + validFields + "Connection: close\r\n\r\n%[2]s").assertIsNoAnswer(t)
			brokenResponse("HTTP/1.1 " + status + " Status\r\n" + validFields + "X-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n").assertIsNoAnswer(t)
		})
	}
	t.Run("switch of protocols", func(t *testing.T) {
		brokenResponse("HTTP/1.1 101 Switching Protocols\r\n" + validFields + "Connection: Upgrade\r\nUpgrade: other\r\n\r\n%[2]s").assertIsNoAnswer(t)
	})
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
	const length, chunks = "Content-Length: %[3]d\r\n\r\n%[2]s", "Transfer-Encoding: chunked\r\n\r\n%[3]x\r\n%[2]s\r\n0\r\n"
	for name, line := range brokenFields {
		for place, response := range map[string]string{
			"head":                  "HTTP/1.1 200 OK\r\n" + validFields + line + "\r\nConnection: close\r\n\r\n%[2]s",
			"head with a length":    "HTTP/1.1 200 OK\r\n" + validFields + line + "\r\n" + length,
			"head of a rejection":   "HTTP/1.1 503 Full\r\nX-Not-Executed: 1\r\n" + line + "\r\nContent-Length: 0\r\n\r\n",
			"interim head":          "HTTP/1.1 103 Early Hints\r\nLink: <x>\r\n" + line + "\r\n\r\nHTTP/1.1 200 OK\r\n" + validFields + "Connection: close\r\n\r\n%[2]s",
			"trailer":               "HTTP/1.1 200 OK\r\n" + validFields + chunks + "X-Sum: 1\r\n" + line + "\r\n\r\n",
			"trailer with its name": "HTTP/1.1 200 OK\r\n" + validFields + "Trailer: X-Sum\r\n" + chunks + "X-Sum: 1\r\n" + line + "\r\n\r\n",
		} {
			t.Run(name+", "+place, func(t *testing.T) {
				t.Parallel()
				brokenResponse(response).assertIsNoAnswer(t)
			})
		}
	}
}

// Guards against a line that begins with a blank and becomes part of the value before it,
// such as the signature.
func TestResponseWithAFoldedLineIsNoAnswer(t *testing.T) {
	for name, line := range map[string]string{"blank": " X-Name: 1", "tab": "\tX-Name: 1", "only a blank": " "} {
		for place, response := range map[string]string{
			"head":         "HTTP/1.1 200 OK\r\nX-Attempt-Id: %[1]s\r\nX-Confidence: 100\r\nX-Response-Signature: sig.%[1]s\r\n" + line + "\r\nContent-Length: %[3]d\r\n\r\n%[2]s",
			"first line":   "HTTP/1.1 200 OK\r\n" + line + "\r\n" + validFields + "Content-Length: %[3]d\r\n\r\n%[2]s",
			"interim head": "HTTP/1.1 103 Early Hints\r\nLink: <x>\r\n" + line + "\r\n\r\nHTTP/1.1 200 OK\r\n" + validFields + "Content-Length: %[3]d\r\n\r\n%[2]s",
		} {
			t.Run(name+", "+place, func(t *testing.T) {
				t.Parallel()
				brokenResponse(response).assertIsNoAnswer(t)
			})
		}
	}
}

// Guards against the refusal of a response whose status is unusual, but possible.
func TestResponseWithAnUnusualStatusIsAnAnswer(t *testing.T) {
	for _, status := range []int{200, 226, 299, 399, 418, 499, 599} {
		t.Run(fmt.Sprint(status), func(t *testing.T) {
			s := newSite(t)
			s.configure(routes(), key)
			s.rawReplica("o1", orders, func(_ int32, id string) string {
				return fmt.Sprintf("HTTP/1.1 %[2]d Status\r\n"+validFields+"Content-Length: 4\r\n\r\nbody", id, status)
			})
			s.startVM("vm-1")
			g := s.do(call{id: "r1", path: plainPath, key: key})
			assert.Equal(t, status, g.status)
			assert.Equal(t, "body", g.body)
		})
	}
}
