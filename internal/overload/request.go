// Package overload decides what a VM does with requests for which no upstream has room
// now: in which order they get the room that appears, which of them wait and for how
// long, which are refused, and when refused callers should return. It does no I/O and
// reads no clock. Its types are not safe for concurrent use.
package overload

import "time"

// Request is what the decisions need to know of one attempt that needs room.
type Request struct {
	// Priority is the urgency; 0 is the most urgent.
	Priority int
	// Kind names the kind of request, for example its route.
	Kind string
	Team string
	// PromptTokens and OutputTokens are the tokens to prefill and those expected in the
	// response; zero for plain services.
	PromptTokens, OutputTokens int
	// TargetAt is when the response should begin to count as in time, and Deadline when
	// it is of no more use.
	TargetAt, Deadline time.Time
	// Expected is the time from the dispatch to the begin of the response.
	Expected time.Duration
}

const (
	// baseWork is the work of any request, in prompt tokens. It is the fixed part of the
	// time to a first token (fleet.firstTokenOverheadTokens), so that short prompts
	// count as alike.
	baseWork = 400
	// outputWork is the work of one output token, in prompt tokens: a token takes a slot
	// for about 15 ms, of 64 slots, and a prompt token 0.03 ms of the whole engine.
	outputWork = 8
)

// Work returns the work of the request in prompt tokens.
func (r *Request) Work() int {
	return baseWork + max(r.PromptTokens, 0) + outputWork*max(r.OutputTokens, 0)
}

// size is the size class of a request.
type size int

// The size classes, by work: calls and short prompts; ordinary prompts; long ones. A long
// request occupies an engine several times longer than an ordinary one.
const (
	sizeSmall size = iota
	sizeMedium
	sizeLarge
)

const (
	minMediumWork = 1000
	minLargeWork  = 6000
)

func (r *Request) size() size {
	switch w := r.Work(); {
	case w >= minLargeWork:
		return sizeLarge
	case w >= minMediumWork:
		return sizeMedium
	}
	return sizeSmall
}
