// Package claims runs work that must not be repeated at most once. Before each
// run, a process claims the work with a conditional write to the platform's
// object store. Only this write decides who may run the work; everything else
// only saves store calls.
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
	Value string
	// IssuedAt is the key's issue time, from the key itself or a header.
	IssuedAt time.Time
}

// Request is one request to run a unit of work. The same unit can arrive
// several times and at several VMs.
type Request struct {
	ID  string
	Key Key
	// Fingerprint is a digest of method, path and body. A key that was used
	// with another fingerprint is rejected with KeyReused.
	Fingerprint string
	Deadline    time.Time
}

// Outcome is the result of a run. Later arrivals of the same key receive it too.
type Outcome struct {
	// Run says whether the work was executed.
	Run result.RunState
	// Code is the result code if the run failed; zero for an upstream answer.
	Code   result.Code
	Status int
	Header http.Header
	Body   []byte
	// Replayed is true if the run belongs to another arrival of the key.
	Replayed bool
}
