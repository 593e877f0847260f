// Package edge is the process of an entry VM on the users' platform: it serves
// callers, follows the platform's store and keeps in touch with the other VMs.
// Decisions live in the packages fleet, canary, modelchoice and retrybudget;
// this package does the input and output between them.
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

// Ingress decodes what callers send.
type Ingress interface {
	DecodeCaller(r *http.Request) exchange.Caller
	DecodeRequest(r *http.Request) *exchange.Request
	// MarkRefusal names the request in the headers of an answer of our own.
	MarkRefusal(h http.Header, requestID string)
}

// Protocol puts attempts on the wire and decodes the heads of answers.
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
	// ConfigName is the object that holds the configuration.
	ConfigName() string
	// ReadinessPath is where the platform asks whether the VM takes callers.
	ReadinessPath() string
}
