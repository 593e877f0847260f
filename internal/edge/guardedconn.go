package edge

import (
	"bytes"
	"fmt"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/cranberrypier/cranberrypier/internal/result"
)

// guardedConn is a connection whose header sections are measured before net/http parses
// them. The memory that a section takes is held in the byte budget until its request
// ends.
type guardedConn struct {
	net.Conn
	guard *connGuard

	// The fields up to refused belong to the goroutine that reads. net/http reads in one
	// goroutine at a time, and in none when the request has ended.
	section headerSection
	ahead   readAhead
	// unscanned is true if the section began with bytes that were read ahead.
	unscanned bool
	refused   bool

	// bodyBytes is the length of the request's body; negative if unknown.
	bodyBytes int64
	// held is the room in the budget, in bytes.
	held   atomic.Int64
	closed atomic.Bool
	// active is true while a request is handled, and served once one was.
	active, served atomic.Bool
	// hasReadDeadline is true while reads have a deadline.
	hasReadDeadline atomic.Bool
	// quietSince is when the connection was accepted or its latest request ended, in
	// Unix nanoseconds.
	quietSince atomic.Int64
}

// Read implements net.Conn.
func (c *guardedConn) Read(p []byte) (int, error) {
	if c.refused {
		return 0, errRefused
	}
	n, err := c.Conn.Read(p)
	if n <= 0 {
		return n, err
	}
	if c.active.Load() || c.section.ended {
		c.ahead.add(p[:n], len(p) == 1)
		return n, err
	}
	if inSection := c.section.add(p[:n]); inSection < n {
		c.ahead.add(p[inSection:n], false)
	}
	if len(p) == 1 {
		return n, err // net/http reads single bytes while a request is handled
	}
	if e := c.check(); e != nil {
		c.refuse(e, p)
		return 0, errRefused
	}
	return n, err
}

// check returns why the section is refused; nil if it is within the limits and has room.
func (c *guardedConn) check() *result.Error {
	if c.tooLarge() {
		return c.guard.tooLargeError()
	}
	if !c.hold() {
		return noHeaderRoomError()
	}
	return nil
}

func (c *guardedConn) tooLarge() bool {
	limit := c.guard.maxHeaderBytes()
	if c.unscanned { // its request line may be among the other lines
		return c.section.fields > 2*limit || c.section.lines > maxHeaderLines(limit, c.guard.budget.limit)
	}
	return c.section.target > limit || c.section.fields > limit || c.section.lines > maxHeaderLines(limit, c.guard.budget.limit)
}

// hold holds room for the section. It returns false if there is none.
func (c *guardedConn) hold() bool {
	over := c.section.cost() - freeHeaderCost
	held := c.held.Load()
	if over <= held {
		return true
	}
	want := (over + headerCostStep - 1) / headerCostStep * headerCostStep
	if !c.guard.budget.growHeaders(held, want) {
		return false
	}
	c.held.Add(want - held)
	if c.closed.Load() { // by another goroutine, which may have released the room before
		c.release()
	}
	return true
}

func (c *guardedConn) release() {
	if n := c.held.Swap(0); n != 0 {
		c.guard.budget.growHeaders(n, 0)
	}
}

// refuse sends a refusal and ends the connection. If there is no room, it reads the
// section to its end first: a response before that could be lost. It uses p as a buffer.
func (c *guardedConn) refuse(e *result.Error, p []byte) {
	c.refused = true
	for e.Code == result.NoHeaderRoom && !c.section.ended {
		n, err := c.Conn.Read(p)
		c.section.add(p[:n])
		switch {
		case c.tooLarge():
			e = c.guard.tooLargeError()
		case err != nil:
			c.guard.record(refusedNoRoom, c)
			return // the section did not end in time
		}
	}
	if e.Code == result.NoHeaderRoom {
		c.guard.record(refusedNoRoom, c)
	} else {
		c.guard.record(refusedTooLarge, c)
	}
	header := make(http.Header)
	body := c.guard.setRefusalHeader(header, e)
	var out bytes.Buffer
	status := e.Code.Info().HTTPStatus
	_, _ = fmt.Fprintf(&out, "HTTP/1.1 %d %s\r\n", status, http.StatusText(status)) // a buffer never fails to write
	_ = header.Write(&out)
	out.WriteString("\r\n")
	out.Write(body)
	_ = c.SetDeadline(time.Now().Add(refusalTimeout))
	if _, err := c.Write(out.Bytes()); err != nil {
		return
	}
	_ = c.CloseWrite() // fails only if the connection is gone
	for discarded := 0; discarded < maxDiscardBytes; {
		n, err := c.Conn.Read(p)
		if err != nil {
			return
		}
		discarded += n
	}
}

// beginRequest is called when the request has been parsed, with the length of its body,
// negative if unknown. It returns false if there is no room for its section, which can
// only be if that was read ahead.
func (c *guardedConn) beginRequest(bodyBytes int64) bool {
	c.active.Store(true)
	c.served.Store(true)
	c.bodyBytes = bodyBytes
	return !c.unscanned || c.hold()
}

// endRequest is called when the response has been sent and the connection waits for
// another request.
func (c *guardedConn) endRequest() {
	c.release()
	bodyBytes := c.bodyBytes
	if !c.section.ended {
		bodyBytes = -1 // its end was read ahead
	}
	c.section = c.ahead.next(bodyBytes)
	c.unscanned = c.section.begun
	c.ahead.bytes = 0
	c.quietSince.Store(time.Now().UnixNano())
	c.active.Store(false)
}

// SetReadDeadline implements net.Conn.
func (c *guardedConn) SetReadDeadline(t time.Time) error {
	c.hasReadDeadline.Store(!t.IsZero())
	return c.Conn.SetReadDeadline(t)
}

// Close implements net.Conn.
func (c *guardedConn) Close() error {
	if !c.closed.Swap(true) {
		c.guard.forget(c)
	}
	c.release()
	return c.Conn.Close()
}

// CloseWrite closes the sending side. net/http uses it so that a client gets the last
// response before the connection is closed.
func (c *guardedConn) CloseWrite() error {
	if tcp, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return tcp.CloseWrite()
	}
	return nil
}

// SetLinger sets how the connection is closed; see net.TCPConn.
func (c *guardedConn) SetLinger(sec int) error {
	if tcp, ok := c.Conn.(interface{ SetLinger(int) error }); ok {
		return tcp.SetLinger(sec)
	}
	return nil
}
