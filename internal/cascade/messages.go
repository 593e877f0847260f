// Package cascade chooses the cheapest sequence of a class's models that is
// expected to meet the quality target before the deadline. It learns the models'
// quality from ratings of their answers.
//
// To judge an answer is to rate it before it is returned. A sample of the other
// answers is rated afterwards, in the background.
package cascade

import "time"

// Option is one model version that the request may use, in cascade order.
type Option struct {
	Model   string
	Version string
	// Cost is the cost of 1,000 generated tokens, in cost units.
	Cost float64
	// Quality is the expected rating in the document, from 0 to 1.
	Quality float64
}

// Request describes a request whose next step is to be planned.
type Request struct {
	Team    string
	Class   string
	Target  float64
	Options []Option
	// TimeLeft is the time until the deadline.
	TimeLeft time.Duration
	// Tried is the index after the last option that was run, 0 before the first
	// step. The options before it are not run any more.
	Tried int
	// Streaming is true if tokens are sent to the caller as they are generated, so
	// that an answer can't be judged and replaced.
	Streaming bool
}

// Step is the next step of a request.
type Step struct {
	// Index is the option to run, or -1 to run no further one and return the latest
	// answer.
	Index int
	// Judge is true if the answer must be rated before it is returned.
	Judge bool
	// Threshold is the minimum rating at which a judged answer is returned.
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

// Rating is the rating of one answer.
type Rating struct {
	Team    string
	Class   string
	Model   string
	Version string
	// Value is from 0 to 1.
	Value float64
	// Escalated is true if an earlier answer to the request was rated below the
	// threshold. Such requests are harder than others.
	Escalated bool
}

// VersionKey identifies one version of one model.
type VersionKey struct {
	Model   string `cbor:"1,keyasint"`
	Version string `cbor:"2,keyasint"`
}

// Key identifies a counter. Team and Class are empty in a key that sums a
// version's ratings over all teams and classes.
type Key struct {
	Team    string `cbor:"1,keyasint"`
	Class   string `cbor:"2,keyasint"`
	Model   string `cbor:"3,keyasint"`
	Version string `cbor:"4,keyasint"`
	// Escalated is set for answers that followed one rated below the threshold.
	Escalated bool `cbor:"5,keyasint,omitempty"`
}

// Health sums up the ratings of one version over all teams and classes.
type Health struct {
	VersionKey
	// Recent and LongTerm are the mean ratings with the short and the long
	// half-life, RecentN and LongTermN their effective numbers of ratings.
	Recent, LongTerm   float64
	RecentN, LongTermN float64
	// Bad is true while the version is avoided because its ratings fell.
	Bad bool
}
