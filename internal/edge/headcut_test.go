package edge_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/cranberrypier/cranberrypier/internal/gossip"
)

// cutReplica accepts connections and answers each request with bytes that a function
// makes of its ID, and then closes the connection.
func (s *site) cutReplica(id, service string, answer func(requestID string) string) {
	s.t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(s.t, err)
	s.t.Cleanup(func() { _ = listener.Close() })
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go func() {
				defer func() { _ = conn.Close() }()
				req, err := http.ReadRequest(bufio.NewReader(conn))
				if err != nil {
					return
				}
				_, _ = io.Copy(io.Discard, req.Body)
				_, _ = io.WriteString(conn, answer(req.Header.Get("X-Attempt-Id"))) // the VM may have closed the connection
			}()
		}
	}()
	s.addresses[id] = listener.Addr().String()
	s.putEntry(id, service, s.addresses[id], nil)
}

// wholeAnswer is an answer in one of the forms of the protocol; the head ends at headEnd.
type wholeAnswer struct {
	raw     string
	headEnd int
	body    string
}

// answerForms returns the answer to a request in each form, with the body of a stream or
// of a plain service.
func answerForms(requestID, body string) map[string]wholeAnswer {
	head := "HTTP/1.1 200 OK\r\nX-Attempt-Id: " + requestID + "\r\nX-Response-Signature: sig." + requestID + "\r\nX-Replica-Load: 1,0,8\r\n"
	chunked := fmt.Sprintf("%x\r\n%s\r\n0\r\n", len(body), body)
	withLength := head + fmt.Sprintf("Content-Length: %d\r\n\r\n", len(body))
	inChunks := head + "Transfer-Encoding: chunked\r\n\r\n"
	withTrailer := head + "Transfer-Encoding: chunked\r\nTrailer: X-Checksum\r\n\r\n"
	unframed := head + "Connection: close\r\n\r\n"
	interim := "HTTP/1.1 103 Early Hints\r\nLink: <x>\r\n\r\n"
	proceed := "HTTP/1.1 100 Continue\r\n\r\n"
	return map[string]wholeAnswer{
		"length":              {withLength + body, len(withLength), body},
		"chunks":              {inChunks + chunked + "\r\n", len(inChunks), body},
		"trailer":             {withTrailer + chunked + "X-Checksum: 5\r\n\r\n", len(withTrailer), body},
		"no length":           {unframed + body, len(unframed), body},
		"early hints":         {interim + withLength + body, len(interim + withLength), body},
		"continue":            {proceed + withLength + body, len(proceed + withLength), body},
		"hints and no length": {interim + proceed + unframed + body, len(interim + proceed + unframed), body},
	}
}

// Guards against an answer whose head is cut short and that looks whole to the caller: on
// connections of callers that are kept, after interim responses, with trailers, without a
// length, and between two VMs.
func TestHeadCutShortLooksWhole(t *testing.T) {
	const plainBody, streamBody = "plain answer", "id: 1\ndata: a b\n\nid: 2\ndata: c d\n\n"
	for _, forwarded := range []bool{false, true} {
		for form := range answerForms("", "") {
			for _, stream := range []bool{false, true} {
				t.Run(fmt.Sprintf("%s, stream %t, forwarded %t", form, stream, forwarded), func(t *testing.T) {
					t.Parallel()
					body, service, path := plainBody, orders, "/once/x"
					if stream {
						body, service, path = streamBody, engine, "/draft/x"
					}
					d := &cutDialer{}
					s := newSite(t)
					s.dial["vm-1"] = d.dial
					s.configure(append(routes(), streamRoute("draft", false)), key)
					var mu sync.Mutex
					length := 0
					for i := range 2 {
						s.cutReplica(fmt.Sprint("raw-", i), service, func(id string) string {
							mu.Lock()
							defer mu.Unlock()
							raw := answerForms(id, body)[form].raw
							return raw[:min(length, len(raw))]
						})
					}
					s.startVM("vm-1")
					if forwarded {
						s.startVM("vm-2")
						time.Sleep(time.Second) // the VMs get to know each other
						d.cut.Store(true)
						s.do(call{id: "warm", path: path, key: key, header: map[string]string{"X-Model": "*"}})
					}
					caller := &keptCaller{address: s.vms[0].settings.CallerAddress}
					defer caller.close()
					whole := answerForms("r0000", body)[form]
					for at := 0; at < whole.headEnd; at += 3 {
						mu.Lock()
						length = at
						mu.Unlock()
						id := fmt.Sprintf("r%04d", at)
						status, got := caller.sendAndRead(t, path, id)
						assert.NotEqual(t, http.StatusOK, status, "cut after %d bytes: %q", at, got)
						assert.NotContains(t, got, "sig.", "cut after %d bytes", at)
					}
					mu.Lock()
					length = len(whole.raw)
					mu.Unlock()
					status, got := caller.sendAndRead(t, path, "r9999")
					assert.Equal(t, http.StatusOK, status)
					assert.Equal(t, body, got, "the next answer on the connection is whole")
				})
			}
		}
	}
}

// keptCaller sends its requests on one connection, and on another one after the VM has
// ended it or said that it will.
type keptCaller struct {
	address string
	conn    net.Conn
	reader  *bufio.Reader
}

func (c *keptCaller) close() {
	if c.conn != nil {
		_ = c.conn.Close()
	}
	c.conn = nil
}

// sendAndRead sends a request and returns the status and the body of the answer; the status
// is zero if the connection ends before a complete one.
func (c *keptCaller) sendAndRead(t *testing.T, path, id string) (status int, body string) {
	t.Helper()
	if c.conn == nil {
		conn, err := net.Dial("tcp", c.address)
		require.NoError(t, err)
		c.conn, c.reader = conn, bufio.NewReader(conn)
	}
	_, err := fmt.Fprintf(c.conn, "POST %s HTTP/1.1\r\nHost: %s\r\nX-Attempt-Id: %s\r\nApi-Key: %s\r\nX-Model: *\r\nX-Deadline-Ms: 800\r\nContent-Length: 1\r\n\r\nx", path, host, id, key)
	if err != nil {
		c.close()
		return 0, ""
	}
	resp, err := http.ReadResponse(c.reader, nil)
	if err != nil {
		c.close()
		return 0, ""
	}
	defer func() { _ = resp.Body.Close() }()
	raw, err := io.ReadAll(resp.Body)
	if err != nil {
		c.close()
		return 0, string(raw)
	}
	if resp.Close {
		c.close()
	}
	return resp.StatusCode, string(raw)
}

// announceVM makes a VM believe, until the test ends, that another VM is at an address.
func (s *site) announceVM(to *entryVM, name, address string) {
	s.t.Helper()
	conn, err := net.Dial("udp", to.settings.PeerAddress)
	require.NoError(s.t, err)
	raw, err := cbor.Marshal(gossip.Message{From: gossip.Member{Name: name, Incarnation: 1, Address: address, Zone: "a"}})
	require.NoError(s.t, err)
	done := make(chan struct{})
	s.t.Cleanup(func() { close(done) })
	go func() {
		defer func() { _ = conn.Close() }()
		for {
			_, _ = conn.Write(raw) // sent again
			select {
			case <-done:
				return
			case <-time.After(100 * time.Millisecond):
			}
		}
	}()
}

// Guards against the head of another VM's answer that is cut short on the way and looks
// whole to the caller.
func TestHeadCutShortBetweenVMsLooksWhole(t *testing.T) {
	for form := range answerForms("", "") {
		t.Run(form, func(t *testing.T) {
			t.Parallel()
			d := &cutDialer{}
			s := newSite(t)
			s.dial["vm-1"] = d.dial
			s.startDefaultsWith(append(routes(), streamRoute("draft", false)))
			var mu sync.Mutex
			length, body := 0, ""
			s.cutReplica("vm-raw", "no service", func(id string) string {
				mu.Lock()
				defer mu.Unlock()
				raw := answerForms(id, body)[form].raw
				return raw[:min(length, len(raw))]
			})
			s.announceVM(s.vms[0], "vm-raw", s.addresses["vm-raw"])
			time.Sleep(500 * time.Millisecond) // the VM hears of it
			d.cut.Store(true)
			for path, whole := range map[string]string{"/once/x": "plain answer", "/draft/x": "id: 1\ndata: a b\n\n"} {
				s.do(call{id: "warm", path: path, key: key, header: map[string]string{"X-Model": "*"}})
				answer := answerForms("r0000", whole)[form]
				for at := 0; at <= len(answer.raw); at += 3 {
					mu.Lock()
					length, body = at, whole
					mu.Unlock()
					g := s.do(call{id: fmt.Sprintf("r%04d", at), path: path, key: key, deadline: time.Second, header: map[string]string{"X-Model": "*"}})
					if g.err != nil || g.status != http.StatusOK {
						continue
					}
					assert.GreaterOrEqual(t, at, answer.headEnd, "cut after %d bytes: %q", at, g.body)
				}
				mu.Lock()
				length = 1 << 20
				mu.Unlock()
				g := s.do(call{id: "r9999", path: path, key: key, deadline: time.Second, header: map[string]string{"X-Model": "*"}})
				assert.Equal(t, http.StatusOK, g.status, "%s: %v", path, g.err)
				assert.Equal(t, whole, g.body)
			}
		})
	}
}
