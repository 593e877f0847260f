// Package claims ensures that work which must not be repeated runs at most once in
// the whole fleet. Before each run, a process claims the work with a conditional
// write to the platform's object store. Only this write decides who may run the
// work; everything else only saves store calls.
package claims

import (
	"net/http"
	"time"

	"github.com/cranberrypier/cranberrypier/internal/result"
)

// Key identifies one unit of work of one team.
type Key struct {
	Team string
	// Value is the caller's Idempotency-Key, or a run ticket: an idempotency key
	// issued by a VM, see Service.Ticket.
	Value string
	// IssuedAt is the key's issue time, from the key itself or a header.
	IssuedAt time.Time
}

// Request is one request to run a unit of work. An arrival is one request with a
// key; a key can arrive several times and at several VMs.
type Request struct {
	ID  string
	Key Key
	// Fingerprint is a digest of method, path and body. A key that was used
	// with another fingerprint is rejected with IdempotencyKeyReused.
	Fingerprint string
	Deadline    time.Time
}

// Outcome is the result of a run. Later arrivals of the same key receive it too.
type Outcome struct {
	// Run says whether the work was executed.
	Run result.RunState
	// Code is the result code if the run failed. It is zero if the upstream
	// answered; then Status, Header and Body are its answer.
	Code   result.Code
	Status int
	Header http.Header
	Body   []byte
	// Replayed is true if the run belongs to another arrival of the key.
	Replayed bool
}
