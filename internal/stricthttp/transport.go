// Package stricthttp is an HTTP client transport that refuses what is no response, and
// what only looks like a complete one. net/http is lenient there.
package stricthttp

import (
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"net/textproto"
	"strings"

	"golang.org/x/net/http/httpguts"
)

// ErrInvalid matches the errors of responses that are not valid HTTP.
var ErrInvalid = errors.New("the response is not valid HTTP")

var errInterimHeadsTooLong = errors.New("the interim heads of the response are too long")

// Transport is an http.RoundTripper. It is safe for concurrent use.
type Transport struct {
	base *http.Transport
}

// NewTransport returns a transport that sends requests through base, which must not be
// used otherwise. It replaces the dial function of base.
func NewTransport(base *http.Transport) *Transport {
	dial := base.DialContext
	if dial == nil {
		dial = new(net.Dialer).DialContext
	}
	base.DialContext = checkEnds(dial)
	return &Transport{base: base}
}

// RoundTrip implements http.RoundTripper. After an invalid response, it closes the
// connection.
func (t *Transport) RoundTrip(req *http.Request) (*http.Response, error) {
	var conn net.Conn
	interim := interimHeads{room: t.maxHeadBytes()}
	trace := &httptrace.ClientTrace{
		GotConn:        func(info httptrace.GotConnInfo) { conn = info.Conn },
		Got1xxResponse: interim.add,
	}
	resp, err := t.base.RoundTrip(req.WithContext(httptrace.WithClientTrace(req.Context(), trace)))
	if err != nil {
		return nil, markInvalid(err)
	}
	if err := errors.Join(checkStatus(resp), checkNames(resp.Header)); err != nil {
		_ = resp.Body.Close() // the response is over
		if conn != nil {
			_ = conn.Close() // it may be idle already if there is no body
		}
		return nil, err
	}
	if len(resp.TransferEncoding) > 0 {
		resp.Body = &trailerCheckedBody{ReadCloser: resp.Body, response: resp, conn: conn}
	}
	return resp, nil
}

// markInvalid marks the errors with which net/http refuses a response that it cannot parse.
// It has no type for those in the status line.
func markInvalid(err error) error {
	var field textproto.ProtocolError
	if errors.As(err, &field) || strings.Contains(err.Error(), ": malformed HTTP ") {
		return fmt.Errorf("%w: %w", ErrInvalid, err)
	}
	return err
}

// Statuses of final responses; see RFC 9110, section 15. Requests ask for no switch of
// protocols (101).
const (
	minFinalStatus = 200
	maxStatus      = 599
)

func checkStatus(resp *http.Response) error {
	if resp.StatusCode < minFinalStatus || resp.StatusCode > maxStatus {
		return fmt.Errorf("%w: its status is %.20q", ErrInvalid, resp.Status)
	}
	return nil
}

// checkNames checks the names of the fields of a head or a trailer. net/http takes names
// with blanks, also those of fields that tell the length of the body, and ignores what they
// mean.
func checkNames(fields map[string][]string) error {
	for name := range fields {
		if !httpguts.ValidHeaderFieldName(name) {
			return fmt.Errorf("%w: the name of a field is %.40q", ErrInvalid, name)
		}
	}
	return nil
}

// maxHeadBytes returns the limit of the size of the heads of a response.
func (t *Transport) maxHeadBytes() int64 {
	if t.base.MaxResponseHeaderBytes > 0 {
		return t.base.MaxResponseHeaderBytes
	}
	return defaultMaxHeadBytes
}

const (
	// defaultMaxHeadBytes is the default of net/http.
	defaultMaxHeadBytes = 10 << 20
	// interimHeadCost is the size of an interim head without fields.
	interimHeadCost = int64(len("HTTP/1.1 100 \r\n\r\n"))
)

// interimHeads checks the interim heads of a response. net/http leaves the limit of their
// size to those who see them.
type interimHeads struct {
	room int64 // in bytes
}

func (h *interimHeads) add(_ int, fields textproto.MIMEHeader) error {
	h.room -= interimHeadCost
	for name, values := range fields {
		for _, value := range values {
			h.room -= int64(len(name) + len(value) + len(": \r\n"))
		}
	}
	if h.room < 0 {
		return errInterimHeadsTooLong
	}
	return checkNames(fields)
}

// trailerCheckedBody is a body in chunks. It ends with an error in place of io.EOF if its
// trailer is not valid.
type trailerCheckedBody struct {
	io.ReadCloser
	response *http.Response
	conn     net.Conn
}

// Read implements io.Reader.
func (b *trailerCheckedBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if err == nil {
		return n, nil
	}
	if errors.Is(err, io.EOF) {
		if invalid := checkNames(b.response.Trailer); invalid != nil {
			_ = b.conn.Close() // it may be idle already
			return n, invalid
		}
	}
	return n, markInvalid(err)
}

// CloseIdleConnections closes the connections that no request uses.
func (t *Transport) CloseIdleConnections() { t.base.CloseIdleConnections() }
