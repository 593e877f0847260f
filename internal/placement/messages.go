// Package placement chooses the upstream for each attempt of a request. It
// queues requests by priority, enforces warm and cold limits, prefers cached
// prefixes and early expected finish times, and ejects failing upstreams. The
// document is the operators' configuration of zones, upstreams and models (see
// package document).
package placement

import (
	"time"

	"github.com/cranberrypier/cranberrypier/internal/document"
)

// Request describes one attempt that needs an upstream.
type Request struct {
	// ID is the request's id.
	ID string
	// Team is the team that sends the request; queued teams are served in
	// turn.
	Team string
	// Target is "model@version" or the name of a plain service.
	Target   string
	Priority document.Priority
	// PrefixHash identifies the prompt's prefix; zero for none.
	PrefixHash uint64
	// PromptTokens and MaxTokens are the size of the work, in tokens.
	PromptTokens int
	MaxTokens    int
	// Deadline is when the response must be complete.
	Deadline time.Time
	// Exclude names upstreams on which this request has already failed. They
	// are used only if every other upstream is disabled or ejected.
	Exclude []string
	// PinnedTo names the only upstream that may run the attempt; empty for any.
	PinnedTo string
	// Prefer names the upstream to use if it has a free slot; empty for none.
	Prefer string
	// Isolated requires an upstream on which this VM runs nothing else.
	Isolated bool
	// Idempotent is false for work that must not be repeated. This package
	// does not use it.
	Idempotent bool
}

// Slot is a reservation for one run on an upstream. It must be released once.
type Slot struct {
	// ReservationID identifies the reservation within this process.
	ReservationID uint64
	Upstream      string
	Address       string
	Zone          string
	// Cold is true if the slot counts against the cold limit.
	Cold bool
	// NotAfter is when the run in a cold slot must have ended; zero for a warm
	// slot.
	NotAfter time.Time
	// Reason says why this upstream was chosen; it is recorded in the
	// timeline.
	Reason string
}

// End classifies how an attempt on a slot ended.
type End string

// Ends of attempts.
const (
	// EndOK is a complete response.
	EndOK End = "ok"
	// EndRejected means that the upstream rejected the request without running
	// it (X-Not-Run).
	EndRejected End = "refused"
	// EndUnreachable means that no connection could be established.
	EndUnreachable End = "unreachable"
	// EndReset means that an established connection broke.
	EndReset End = "reset"
	// EndInvalid means that the upstream sent bytes that are no valid response.
	EndInvalid End = "invalid"
	// EndStalled means that the response stopped making progress.
	EndStalled End = "silent"
	// EndStatus is an error status of the upstream.
	EndStatus End = "status"
	// EndCanceled means that the caller canceled or the deadline passed.
	EndCanceled End = "canceled"
)

// Outcome reports how an attempt ended.
type Outcome struct {
	End End
	// Incarnation and State are the upstream's response headers; empty if
	// none were received. State is "cold", "warm" or "leaving".
	Incarnation string
	State       string
	// FirstToken is the time from dispatch to the first token; zero if none.
	FirstToken time.Duration
	// Tokens is the number of tokens received.
	Tokens int
	// Elapsed is the time from dispatch to the end.
	Elapsed time.Duration
}

// LoadReport is an upstream's report of its own load. It arrives with a delay.
type LoadReport struct {
	Upstream    string
	Incarnation string
	State       string
	Running     int
	Queued      int
	// Loaded names the model versions that the engine has loaded. This package
	// does not use it.
	Loaded []string
	// TakenAt is when the upstream took the report, as estimated on this VM's
	// clock.
	TakenAt time.Time
}

// CacheEvent reports a prefix that was added to or evicted from an upstream's
// cache.
type CacheEvent struct {
	Sequence uint64
	Hash     uint64
	Added    bool
}
