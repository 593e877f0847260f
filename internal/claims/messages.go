// Package claims makes work that may not be repeated run at most once. A
// conditional write in the platform's service, before the run, is the only
// judge; everything else merely saves calls.
package claims

import (
	"net/http"
	"time"

	"github.com/cranberrypier/cranberrypier/internal/result"
)

// Key identifies one unit of work of one team.
type Key struct {
	Team string
	// Key is the caller's Idempotency-Key, or a run ticket.
	Key string
	// IssuedAt is the key's issue time, carried in the key or a header.
	IssuedAt time.Time
}

// Request is one arrival of a unit of work.
type Request struct {
	ID  string
	Key Key
	// Fingerprint is a digest of method, path and body: a key that returns
	// with another fingerprint is refused with KeyReused.
	Fingerprint string
	Deadline    time.Time
}

// Outcome is what the run produced and what a resend receives.
type Outcome struct {
	// Run says whether the work was executed.
	Run result.RunState
	// Code is the result when the run failed; zero for an upstream answer.
	Code   result.Code
	Status int
	Header http.Header
	Body   []byte
	// Replayed is true when the outcome was recorded by an earlier arrival.
	Replayed bool
}
