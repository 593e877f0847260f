// Package edge is the process of an entry VM on the operators' platform. It
// serves callers, follows the platform's store and exchanges state with the
// other VMs. Other packages, such as fleet, retry, canary and relay, make the
// decisions; this package does the I/O between them.
package edge

import (
	"context"
	"encoding/json"
	"net/http"
	"time"

	"github.com/cranberrypier/cranberrypier/internal/canary"
	"github.com/cranberrypier/cranberrypier/internal/exchange"
	"github.com/cranberrypier/cranberrypier/internal/fleet"
	"github.com/cranberrypier/cranberrypier/internal/routing"
)

// Ingress decodes the requests of callers.
type Ingress interface {
	DecodeCaller(r *http.Request) exchange.Caller
	DecodeRequest(r *http.Request) *exchange.Request
	// SetRequestID sets the request's ID in the headers of a response that this
	// VM generates itself.
	SetRequestID(h http.Header, requestID string)
	// ForwardHeader returns the header with which a caller's request is forwarded to
	// another VM, given the time that is left and the last event that the caller has
	// received.
	ForwardHeader(caller http.Header, timeout time.Duration, resumeAfter string) http.Header
}

// Protocol encodes attempts as HTTP requests to upstreams and decodes the heads
// of their responses.
type Protocol interface {
	NewRequest(ctx context.Context, a exchange.Attempt) (*http.Request, error)
	DecodeHead(resp *http.Response, a exchange.Attempt) *exchange.Head
}

// Documents decodes the objects of the platform's store.
type Documents interface {
	DecodeConfig(raw json.RawMessage) (*routing.Config, error)
	DecodeUpstream(id string, raw json.RawMessage, now time.Time) (fleet.Upstream, error)
	DecodeRollOut(spec, status json.RawMessage) (canary.RollOut, error)
	EncodeRollOutStatus(target string, phase canary.Phase) any
	// ConfigName returns the name of the object that holds the configuration.
	ConfigName() string
	// ReadinessPath returns the HTTP path of the platform's readiness checks.
	ReadinessPath() string
}
