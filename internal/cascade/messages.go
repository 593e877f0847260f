// Package cascade chooses the cheapest path through a class's models that is
// expected to meet the quality target in the time left, and learns from
// ratings.
package cascade

import "time"

// Option is one model version that the request may use, in cascade order.
type Option struct {
	Model   string
	Version string
	// Cost is for 1,000 generated tokens, in cost units.
	Cost float64
	// Quality is the document's expectation, from 0 to 1.
	Quality float64
}

// Request asks for the next step of one request.
type Request struct {
	Team    string
	Class   string
	Target  float64
	Options []Option
	// TimeLeft is until the deadline.
	TimeLeft time.Duration
	// Tried is the number of options already answered and found short.
	Tried int
	// Streaming is true when the first tokens have to be sent at once, so that
	// an answer can't be judged and replaced.
	Streaming bool
}

// Step is the decision.
type Step struct {
	// Index is the option to run; -1 keeps the answer at hand.
	Index int
	// Judge is true when the answer is to be rated before it is returned.
	Judge bool
	// Threshold is the rating from which a judged answer is good enough.
	Threshold float64
	Reason    string
}

// Reasons of steps.
const (
	ReasonOnly      = "only"
	ReasonDirect    = "direct"
	ReasonJudged    = "judged"
	ReasonEscalate  = "escalate"
	ReasonShortTime = "short_time"
	ReasonStrongest = "strongest"
	ReasonExplore   = "explore"
	ReasonKeep      = "keep"
)

// Rating is one observed rating.
type Rating struct {
	Team    string
	Class   string
	Model   string
	Version string
	// Value is from 0 to 1.
	Value float64
	// Escalated is true when the answer followed one that was found short:
	// such requests are harder than others.
	Escalated bool
}

// VersionKey names one version of one model.
type VersionKey struct {
	Model   string `cbor:"1,keyasint"`
	Version string `cbor:"2,keyasint"`
}

// Key is what estimates are kept for.
type Key struct {
	Team    string `cbor:"1,keyasint"`
	Class   string `cbor:"2,keyasint"`
	Model   string `cbor:"3,keyasint"`
	Version string `cbor:"4,keyasint"`
	// Hard is set for answers that followed one that was found short.
	Escalated bool `cbor:"5,keyasint,omitempty"`
}

// Health is what ratings say about one version over all teams and classes.
type Health struct {
	VersionKey
	// Recent and Usual are the mean ratings of the last minute and of the
	// last minutes, with their effective numbers of ratings.
	Recent, LongTerm   float64
	RecentN, LongTermN float64
	// Bad is true while the version is avoided.
	Bad bool
}
