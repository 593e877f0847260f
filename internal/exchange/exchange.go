// Package exchange holds the product's own view of one request and of one
// attempt at an upstream. Front ends decode callers' requests into it and
// upstream protocols put attempts on the wire; the decisions between them see
// nothing else.
package exchange

import (
	"net/http"
	"time"

	"github.com/cranberrypier/cranberrypier/internal/poison"
	"github.com/cranberrypier/cranberrypier/internal/routing"
)

// Caller is what admission needs of a request before its body is read.
type Caller struct {
	Key  string
	Path string
	// Patience is how long the caller waits; zero when it does not say.
	Timeout time.Duration
}

// Part is a part of a prompt that several requests may share.
type PromptPart struct {
	ID     string
	Tokens int
}

// Request is one attempt of a caller.
type Request struct {
	// ID is unique for each attempt of a caller.
	ID     string
	Method string
	// Target is the request target as received: path and query, undecoded.
	Target string
	Host   string
	// Header holds the end-to-end headers that are passed on.
	Header http.Header
	Body   []byte
	Team   string
	// Rank is the urgency, 0 first.
	Priority int
	// TeamRegions are the only regions where the team's requests may run; empty
	// for all.
	TeamRegions []string
	Route       *routing.Route
	Service     *routing.Service
	// Session groups requests that belong together; empty for none.
	Session    string
	ReceivedAt time.Time
	// CallerDeadline is when the caller stops waiting; Deadline is the earlier
	// of that and the route's timeout.
	CallerDeadline time.Time
	Deadline       time.Time
	// ResumeAfter is the last event that the caller has; empty for none.
	ResumeAfter string
	// Model is what the caller asked for; AnyModel leaves the choice to us.
	Model    string
	AnyModel bool
	// Parts is the prompt in order; the last part is the request's own.
	PromptParts  []PromptPart
	PromptTokens int
	OutputTokens int
	// Fingerprint is the same for each return of the request.
	Fingerprint poison.Fingerprint
}

// Attempt is one try of a request at one upstream.
type Attempt struct {
	Request *Request
	// Upstream and Address name the incarnation that is meant.
	Upstream string
	Address  string
	// Model is empty for plain services.
	Model       string
	ResumeAfter string
	Deadline    time.Time
}

// Fate says whether an attempt ran.
type AttemptStatus int

// The fates of an attempt.
const (
	// NotSent: no byte of the request reached the upstream.
	NotSent AttemptStatus = iota
	// Rejected: the upstream said that it did not run the request.
	Rejected
	// Misdirected: another incarnation answered at this address; not run.
	Misdirected
	// Unknown: the request was sent and may have run.
	Unknown
	// Answered: the upstream ran the request and its answer has begun.
	Answered
)

var fateNames = [...]string{"not_sent", "rejected", "misdirected", "unknown", "answered"}

// String names the fate in logs and metrics.
func (f AttemptStatus) String() string { return fateNames[f] }

// NotRun reports whether the attempt certainly did not run.
func (f AttemptStatus) NotRun() bool { return f <= Misdirected }

// Load is what an upstream says about itself in an answer.
type Load struct {
	Running int
	Waiting int
	Slots   int
}

// NoConfidence stands for an answer without an opinion of itself.
const NoConfidence = -1

// Head is the decoded head of an upstream's answer.
type Head struct {
	Status int
	// Header holds the end-to-end headers for the caller.
	Header        http.Header
	AttemptStatus AttemptStatus
	// Signed is true when the answer carries the upstream's signature.
	Signed bool
	// Foreign is true when the answer names another request.
	RequestMismatch bool
	// Encoded is true when the body is not the upstream's plain body.
	Encoded    bool
	Load       *Load
	Confidence int
	// Leaving is true when the upstream closes the connection on its own.
	ConnectionClose bool
}

// Usable reports whether the head belongs to a valid answer of this request.
func (h *Head) Usable() bool { return h.Signed && !h.RequestMismatch && !h.Encoded }
