// Package placement chooses the upstream for each attempt of a request: it
// queues by priority, respects warm and cold limits, prefers warm prefix
// caches and short expected finish times, and ejects failing upstreams.
package placement

import (
	"time"

	"github.com/cranberrypier/cranberrypier/internal/document"
)

// Request describes one attempt to place.
type Request struct {
	// ID is the request's id.
	ID string
	// Team is the team that asks; teams are served in turn.
	Team string
	// Target is "model@version" or a plain service's name.
	Target   string
	Priority document.Priority
	// PrefixHash identifies the prompt's prefix; zero for none.
	PrefixHash uint64
	// PromptTokens and MaxTokens size the work, in tokens.
	PromptTokens int
	MaxTokens    int
	// Deadline is when the answer must be whole.
	Deadline time.Time
	// Exclude names upstreams that this request has already failed on. They
	// are taken only if no other one is in service.
	Exclude []string
	// Only names the one upstream that may take the attempt; empty for any.
	Only string
	// Prefer names the upstream that takes it if it can; empty for none.
	Prefer string
	// Alone asks for an upstream on which this VM runs nothing else.
	Isolated bool
	// Idempotent is false for work that may not be repeated.
	Idempotent bool
}

// Slot is a reserved place on one upstream. It must be released once.
type Slot struct {
	// Ticket identifies the reservation within this process.
	Ticket   uint64
	Upstream string
	Address  string
	Zone     string
	// Cold is true when the slot counts against the cold limit.
	Cold bool
	// NotAfter is when a cold slot's run must have ended; zero when warm.
	NotAfter time.Time
	// Reason says why this upstream was chosen, for the time line.
	Reason string
}

// End classifies how an attempt on a slot ended.
type End string

// Ends of attempts.
const (
	// EndOK is a whole answer.
	EndOK End = "ok"
	// EndRefused means that the upstream took no work (X-Not-Run).
	EndRefused End = "refused"
	// EndUnreachable means that no connection was made.
	EndUnreachable End = "unreachable"
	// EndReset means that an established connection broke.
	EndReset End = "reset"
	// EndSilent means that progress stopped.
	EndSilent End = "silent"
	// EndStatus is an error status of the upstream.
	EndStatus End = "status"
	// EndCanceled means that the caller left or the deadline passed.
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

// LoadReport is an upstream's own report, which lags.
type LoadReport struct {
	Upstream    string
	Incarnation string
	State       string
	Running     int
	Queued      int
	Loaded      []string
	// TakenAt is when the upstream took the report, on our clock's estimate.
	TakenAt time.Time
}

// CacheEvent reports a prefix that entered or left an upstream's cache.
type CacheEvent struct {
	Sequence uint64
	Hash     uint64
	Added    bool
}
