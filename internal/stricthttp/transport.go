// Package stricthttp is an HTTP client transport that refuses what is no response, and
// what only looks like a complete one. net/http is lenient there.
package stricthttp

import (
	"net"
	"net/http"
)

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

// RoundTrip implements http.RoundTripper.
func (t *Transport) RoundTrip(req *http.Request) (*http.Response, error) {
	return t.base.RoundTrip(req)
}

// CloseIdleConnections closes the connections that no request uses.
func (t *Transport) CloseIdleConnections() { t.base.CloseIdleConnections() }
