package edge

import (
	"context"
	"errors"
	"fmt"
	"net"

	"github.com/cranberrypier/cranberrypier/internal/stricthttp"
)

// maxResponseHeadLines limits the lines of the heads of a response: the last one and the
// interim ones before it. Each line takes many times its size once it is parsed, so that a
// limit of bytes alone bounds the memory poorly.
const maxResponseHeadLines = 512

var (
	errTooManyHeadLines = errors.New("the head of the response has too many lines")
	// errFoldedLine refuses a line that begins with a blank. As obsolete line folding it
	// would become part of the value before it; RFC 9112, section 5.2, lets gateways refuse
	// that.
	errFoldedLine = fmt.Errorf("%w: a line of the head begins with a blank", stricthttp.ErrInvalid)
)

// headLines counts and checks the lines of the heads that begin a connection's bytes.
type headLines struct {
	lines      int
	lineLength int
	// statusClass is the first digit of the status of the current head; zero while its
	// first line has not got that far.
	statusClass byte
	inHead      bool
	done        bool
}

// statusClassAt is the offset of the status in a status line.
const statusClassAt = len("HTTP/1.1 ")

// add counts the lines of further bytes. It returns an error if they are too many, or if
// one is folded.
func (h *headLines) add(b []byte) error {
	for i := 0; i < len(b) && !h.done; i++ {
		switch b[i] {
		case '\r':
		case '\n':
			h.endLine()
		default:
			if !h.inHead && h.lineLength == statusClassAt {
				h.statusClass = b[i]
			}
			if h.inHead && h.lineLength == 0 && (b[i] == ' ' || b[i] == '\t') {
				return errFoldedLine
			}
			h.lineLength++
		}
	}
	if h.lines > maxResponseHeadLines {
		return errTooManyHeadLines
	}
	return nil
}

func (h *headLines) endLine() {
	h.lines++
	switch {
	case h.lineLength > 0:
		h.inHead = true
	case h.inHead: // the empty line after a head; the response follows an interim one
		h.done = h.statusClass != '1'
		h.inHead = false
	}
	h.lineLength = 0
}

// headLimitedConn is a connection that carries one response.
type headLimitedConn struct {
	net.Conn
	head headLines
}

func (c *headLimitedConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if invalid := c.head.add(b[:n]); invalid != nil {
		return 0, invalid
	}
	return n, err
}

// NetConn returns the connection below.
func (c *headLimitedConn) NetConn() net.Conn { return c.Conn }

// limitHeads returns a function that opens connections whose responses have a limited
// number of lines in their heads, none of which is folded. Each connection may carry one response only.
func limitHeads(dial DialFunc) DialFunc {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return &headLimitedConn{Conn: conn}, nil
	}
}
