package sitesoak

import (
	"bufio"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"github.com/cranberrypier/cranberrypier/internal/fake/platformside"
)

// The requests of a step in which callers or upstreams read slowly.
const (
	slowRequests    = 24
	unreadBytes     = 1 << 20   // of a response
	slowBodyBytes   = 512 << 10 // of a request
	slowCallTimeout = 4 * time.Second
	// unreadTime is longer than the patience that a VM has with a caller.
	unreadTime = 6 * time.Second
)

// leaveUnread lets callers of one VM ask for large responses and read nothing of them.
func (h *harness) leaveUnread(rng *rand.Rand, duration time.Duration) {
	v := h.randomVM(rng)
	h.recordEvent("callers of %s read nothing of responses of %d bytes", v.name, unreadBytes)
	restore := h.changeFaults(h.replicasOf(orderService), func(f *platformside.ReplicaFaults) { f.AnswerBytes = unreadBytes })
	for i := range slowRequests {
		if conn := h.sendRaw(v, fmt.Sprintf("%d-u-%d-%d", h.opts.Seed, rng.Uint32(), i), ""); conn != nil {
			defer func() { _ = conn.Close() }() // the caller gives up
		}
	}
	time.Sleep(duration)
	restore()
	time.Sleep(unreadTime)
}

// readSlowly lets an upstream read large bodies late. Work that runs at most once is
// checked by checkRuns.
func (h *harness) readSlowly(rng *rand.Rand, duration time.Duration) {
	v, r := h.randomVM(rng), h.randomReplica(rng)
	h.recordEvent("%s reads bodies of %d bytes late, sent to %s", r.name, slowBodyBytes, v.name)
	defer h.changeFaults([]*replica{r}, func(f *platformside.ReplicaFaults) { f.BodyPause = duration })()
	var wait sync.WaitGroup
	for i := range slowRequests {
		id := fmt.Sprintf("%d-b-%d-%d", h.opts.Seed, rng.Uint32(), i)
		wait.Go(func() {
			conn := h.sendRaw(v, id, strings.Repeat("x", slowBodyBytes))
			if conn == nil {
				return
			}
			defer func() { _ = conn.Close() }()                        // the response is read, or too late
			resp, err := http.ReadResponse(bufio.NewReader(conn), nil) //nolint:bodyclose // conn is closed
			if err != nil {
				return // the VM may have been stopped
			}
			_, err = io.Copy(io.Discard, resp.Body)
			h.mu.Lock()
			defer h.mu.Unlock()
			h.requests[id].status, h.requests[id].cut = resp.StatusCode, err != nil
		})
	}
	wait.Wait()
}

// changeFaults changes the faults of replicas and returns a function that restores them.
func (h *harness) changeFaults(replicas []*replica, change func(*platformside.ReplicaFaults)) (restore func()) {
	var restores []func()
	for _, r := range replicas {
		f := r.versionFaults()
		change(&f)
		r.mu.Lock()
		p := r.current
		r.mu.Unlock()
		p.SetFaults(f)
		restores = append(restores, func() { p.SetFaults(r.versionFaults()) })
	}
	return func() {
		for _, f := range restores {
			f()
		}
	}
}

// limitBuffers keeps the kernel from buffering whole responses, as it does on loopback with
// its segments of 64 KB.
func limitBuffers(_, _ string, raw syscall.RawConn) error {
	return raw.Control(func(fd uintptr) {
		_ = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_MAXSEG, 1460) // best effort
		_ = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_RCVBUF, 8<<10)
	})
}

// sendRaw sends a request of work that runs at most once on a connection of its own. It
// returns nil if the VM does not take it.
func (h *harness) sendRaw(v *entryVM, id, body string) net.Conn {
	r := &request{id: id, path: "/once/x?n=" + id, body: body, key: h.currentKey(), vm: v.name, sentAt: time.Now(), cancels: true}
	h.mu.Lock()
	h.requests[id] = r
	h.mu.Unlock()
	dialer := net.Dialer{Timeout: slowCallTimeout, Control: limitBuffers}
	conn, err := dialer.Dial("tcp", v.frontendAddr)
	if err != nil {
		return nil // the VM may have been stopped
	}
	_ = conn.SetDeadline(time.Now().Add(slowCallTimeout))
	if _, err := fmt.Fprintf(conn, "POST %s HTTP/1.1\r\nHost: %s\r\nApi-Key: %s\r\nX-Attempt-Id: %s\r\nX-Deadline-Ms: 6000\r\nContent-Length: %d\r\n\r\n%s", r.path, host, r.key, id, len(body), body); err != nil {
		_ = conn.Close() // broken
		return nil
	}
	return conn
}
