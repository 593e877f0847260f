// Package peer sends typed messages between the system's own processes over QUIC
// with mutual TLS. docs/PROTOCOLS.md describes the framing.
package peer

import "context"

// Type is the name of a message type, in the form "topic.verb".
type Type string

// Body is an encoded CBOR message body.
type Body []byte

// Caller sends one request to a peer and waits for its response. Errors carry
// the code of the peer's handler, PeerUnreachable, PeerRefused, PeerVersion or
// PeerMessageInvalid. PeerUnreachable has the run state NotRun when nothing was
// sent, and Unknown when the peer may have received the request.
type Caller interface {
	// Call sends in to the peer at addr (IP:port) and decodes its response
	// into out, which may be nil.
	Call(ctx context.Context, addr string, t Type, in, out any) error
}

// Handler handles requests of one message type. The returned value is the
// response body.
type Handler func(ctx context.Context, from Identity, body Body) (any, error)

// Identity is the authenticated identity of a message's sender.
type Identity struct {
	Fleet string
	// VM is the sender's VM name.
	VM string
	// Zone is the sender's availability zone.
	Zone string
	// Role is "router" or "agent".
	Role string
	// Incarnation changes on each start of the process.
	Incarnation uint64
}

// Mux registers handlers before the server starts.
type Mux interface {
	Handle(t Type, h Handler)
}
