// Package stricthttp is an HTTP client transport that refuses what is no response, and
// what only looks like a complete one. net/http is lenient there.
package stricthttp

import (
	"errors"
	"fmt"
	"net"
	"net/http"
	"net/http/httptrace"
	"strings"
)

// ErrInvalid matches the errors of responses that are not valid HTTP.
var ErrInvalid = errors.New("the response is not valid HTTP")

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
	trace := &httptrace.ClientTrace{GotConn: func(info httptrace.GotConnInfo) { conn = info.Conn }}
	resp, err := t.base.RoundTrip(req.WithContext(httptrace.WithClientTrace(req.Context(), trace)))
	if err != nil {
		return nil, markInvalid(err)
	}
	if err := checkStatus(resp); err != nil {
		_ = resp.Body.Close() // the response is over
		_ = conn.Close()      // it may be idle already if there is no body
		return nil, err
	}
	return resp, nil
}

// markInvalid marks the errors with which net/http refuses a response that it cannot parse.
// It has no type for all of them.
func markInvalid(err error) error {
	if strings.Contains(err.Error(), ": malformed HTTP ") {
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

// CloseIdleConnections closes the connections that no request uses.
func (t *Transport) CloseIdleConnections() { t.base.CloseIdleConnections() }
