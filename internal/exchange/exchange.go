// Package exchange defines a request and an attempt at an upstream independently
// of any protocol. Front ends decode callers' requests into these types, and
// upstream protocols encode attempts from them; the routing decisions in between
// use nothing else.
package exchange

import (
	"net/http"
	"time"

	"github.com/cranberrypier/cranberrypier/internal/poison"
	"github.com/cranberrypier/cranberrypier/internal/routing"
)

// Caller is what admission needs to know about a caller and its request before the
// request's body is read.
type Caller struct {
	Key  string
	Path string
	// Timeout is how long the caller waits; zero if not specified.
	Timeout time.Duration
}

// PromptPart is a part of a prompt that several requests may share.
type PromptPart struct {
	ID     string
	Tokens int
}

// Request is one request of a caller. A retry by the caller is another Request.
type Request struct {
	// ID is unique for each Request, also when the caller retries.
	ID     string
	Method string
	// RequestURI is the request target as received: path and query, not decoded.
	RequestURI string
	Host       string
	// Header is the header as received. It is shared with the request of net/http, so
	// that it is in memory once, and must not be changed.
	Header http.Header
	Body   []byte
	Team   string
	// Priority is the urgency; 0 is the most urgent.
	Priority int
	// TeamRegions lists the regions in which the team's requests may run; empty for
	// all.
	TeamRegions []string
	Route       *routing.Route
	Service     *routing.Service
	// Session is shared by requests that belong together; empty for none.
	Session    string
	ReceivedAt time.Time
	// CallerDeadline is when the caller stops waiting; Deadline is the earlier of
	// that and the route's timeout.
	CallerDeadline time.Time
	Deadline       time.Time
	// ResumeAfter is the last event that the caller has received; empty for none.
	ResumeAfter string
	// Model is the model that the caller requested; AnyModel is true if the router
	// chooses the model.
	Model    string
	AnyModel bool
	// PromptParts are the prompt's parts in order; the last one belongs only to
	// this request.
	PromptParts  []PromptPart
	PromptTokens int
	OutputTokens int
	// ContentKeys identify what the request has in common with others: with the same
	// request sent again, and by the shared parts of its prompt.
	ContentKeys []poison.Key
}

// Attempt is one attempt to run a request at one upstream.
type Attempt struct {
	Request *Request
	// Upstream and Address are the ID and the address of the intended upstream.
	Upstream string
	Address  string
	// Model is empty for plain services.
	Model       string
	ResumeAfter string
	Deadline    time.Time
}

// AttemptStatus says whether an attempt ran.
type AttemptStatus int

// The statuses. Those up to Misdirected mean that the attempt did not run; NotRun
// relies on the order.
const (
	// NotSent: no byte of the request reached the upstream.
	NotSent AttemptStatus = iota
	// Rejected: the upstream reported that it did not run the request.
	Rejected
	// Misdirected: another incarnation answered at the address; the request did not run.
	Misdirected
	// Unknown: the request was sent and may have run.
	Unknown
	// Answered: the upstream ran the request and has started to respond.
	Answered
)

var attemptStatusNames = [...]string{"not_sent", "rejected", "misdirected", "unknown", "answered"}

// String returns the name used in logs and metrics.
func (s AttemptStatus) String() string { return attemptStatusNames[s] }

// NotRun reports whether the attempt certainly did not run.
func (s AttemptStatus) NotRun() bool { return s <= Misdirected }

// Load is the load that an upstream reports in a response.
type Load struct {
	Running int
	Waiting int
	Slots   int
	// WorkTime is how long work takes there at this moment, as a multiple of the usual: 1
	// is as usual, 2.5 means 2.5 times as long. It is zero if it is not reported.
	WorkTime float64
}

// NoConfidence is the confidence of a response that does not report one.
const NoConfidence = -1

// Head is the decoded header of an upstream's response.
type Head struct {
	Status int
	// Header holds the end-to-end headers for the caller.
	Header        http.Header
	AttemptStatus AttemptStatus
	// Responder is the ID of the upstream that responded; empty if it does not say.
	Responder string
	// HasSignature is true if the response has the upstream's signature header. The
	// header's value is not verified.
	HasSignature bool
	// RequestMismatch is true if the response names another request.
	RequestMismatch bool
	// Encoded is true if the body has a content encoding, so it is not the upstream's
	// plain body.
	Encoded bool
	// Load is nil if the upstream reports none that can be parsed.
	Load *Load
	// BadLoad is what the upstream sent in place of its load; empty if it reports it, or
	// nothing.
	BadLoad    string
	Confidence int
	// ConnectionClose is true if the upstream closes the connection after the
	// response.
	ConnectionClose bool
	// Leaving is true if the upstream announces that it is leaving. It then wants no
	// further requests.
	Leaving bool
	// BrittleLimit is the number of requests above which the upstream crashes if it has
	// to reject them in one second for want of room; zero for no such limit.
	BrittleLimit int
	// RateLimit is the number of requests per second that the upstream takes from all
	// VMs together; zero if it names none.
	RateLimit float64
	// BadRateLimit is what the upstream names in place of a limit; empty if it names a
	// limit or none.
	BadRateLimit string
	// PauseFor is how long the upstream, which rejected the request, wants no further
	// requests from this VM; zero for no pause.
	PauseFor time.Duration
}

// Usable reports whether the head belongs to a valid response to this request.
func (h *Head) Usable() bool { return h.HasSignature && !h.RequestMismatch && !h.Encoded }
