// Package operator implements pierctl and defines the operators' API of the
// agents: its JSON types and its client. The API is HTTPS with mutual TLS; the
// caller's certificate must have the role operator.
package operator

import (
	"github.com/cranberrypier/cranberrypier/internal/document"
	"github.com/cranberrypier/cranberrypier/internal/membership"
	"github.com/cranberrypier/cranberrypier/internal/result"
	"github.com/cranberrypier/cranberrypier/internal/timeline"
)

// Paths of the operators' API.
const (
	// PathDocument serves GET (YAML, with HeaderGeneration) and PUT ?base=N.
	PathDocument = "/v1/document"
	// PathStatus serves GET.
	PathStatus = "/v1/status"
	// PathTimeline serves GET ?since_ms=N&request=ID.
	PathTimeline = "/v1/timeline"
	// PathDrain serves POST with a DrainRequest.
	PathDrain = "/v1/drain"
)

// HeaderGeneration carries the generation of a returned document.
const HeaderGeneration = "X-Generation"

// ContentYAML is the content type of documents.
const ContentYAML = "application/yaml"

// Query parameters.
const (
	QueryBase    = "base"
	QuerySinceMS = "since_ms"
	QueryRequest = "request"
)

// SubmitResponse is the response to an accepted document, with status 200.
type SubmitResponse struct {
	// Generation is the generation assigned to the document.
	Generation uint64 `json:"generation"`
	// Digest is document.Digest of the accepted document.
	Digest string `json:"digest"`
}

// ErrorResponse is the response to a failed request. The HTTP status is that
// of the code.
type ErrorResponse struct {
	Code   result.Code     `json:"code"`
	Name   string          `json:"name"`
	Run    result.RunState `json:"run"`
	Detail string          `json:"detail"`
	// Generation is the generation in force if the code is DocumentConflict.
	Generation uint64 `json:"generation,omitempty"`
	// Faults are set when the code is DocumentInvalid.
	Faults document.Faults `json:"faults,omitempty"`
	// RetryAfterMS is the time to wait before a retry, in milliseconds; zero
	// means that the caller should not retry.
	RetryAfterMS int64 `json:"retry_after_ms,omitempty"`
}

// NewErrorResponse returns the response for err.
func NewErrorResponse(err error) ErrorResponse {
	e := result.From(err)
	return ErrorResponse{
		Code:         e.Code,
		Name:         e.Code.Info().Name,
		Run:          e.Run,
		Detail:       e.Detail,
		Faults:       document.FaultsOf(err),
		RetryAfterMS: e.RetryAfter.Milliseconds(),
	}
}

// Status is one agent's view of the fleet.
type Status struct {
	// VM and Zone identify the responding agent.
	VM   string `json:"vm"`
	Zone string `json:"zone"`
	// Router is the address on which the responding VM's router serves callers.
	Router string `json:"router"`
	// Generation is that of the document in force at the responding agent.
	Generation uint64     `json:"generation"`
	Digest     string     `json:"digest"`
	Members    []Member   `json:"members"`
	Zones      []Zone     `json:"zones"`
	RollOuts   []RollOut  `json:"rollouts"`
	Platform   Platform   `json:"platform"`
	Upstreams  []Upstream `json:"upstreams,omitempty"`
}

// Member is one VM in a status.
type Member struct {
	VM          string            `json:"vm"`
	Zone        string            `json:"zone"`
	Status      membership.Status `json:"status"`
	Generation  uint64            `json:"generation"`
	RouterUp    bool              `json:"router_up"`
	Incarnation uint64            `json:"incarnation"`
}

// Zone is one availability zone in a status.
type Zone struct {
	Name      string `json:"name"`
	Withdrawn bool   `json:"taken_out"`
	// Live is the number of live VMs.
	Live int `json:"live"`
	// Share is the zone's share of traffic, from 0 to 1; it ramps up after the
	// zone returns to service.
	Share float64 `json:"share"`
}

// RollOut is the state of one version's roll-out.
type RollOut struct {
	Model   string  `json:"model"`
	Version string  `json:"version"`
	Share   float64 `json:"share"`
	// State is the roll-out's state, for example "running" or "halted".
	State  string `json:"state"`
	Reason string `json:"reason,omitempty"`
}

// Platform is the platform service as the responding agent sees it.
type Platform struct {
	Reachable bool `json:"reachable"`
	// LastAnswerMS is the time since the last response, in milliseconds.
	LastAnswerMS int64 `json:"last_answer_ms"`
	// Detail is the last error; empty while reachable.
	Detail string `json:"detail,omitempty"`
}

// Upstream is one upstream as the responding VM's router sees it.
type Upstream struct {
	Name    string `json:"name"`
	Zone    string `json:"zone"`
	State   string `json:"state"`
	Running int    `json:"running"`
	Detail  string `json:"detail,omitempty"`
}

// Timeline is the response to a timeline query.
type Timeline struct {
	// Events are in stamp order.
	Events []timeline.Event `json:"events"`
	// Missing lists the live VMs whose events could not be read.
	Missing []string `json:"missing,omitempty"`
	// Gaps are the ranges of events that processes dropped before this read.
	Gaps []timeline.Gap `json:"gaps,omitempty"`
}

// DrainRequest requests a VM's graceful stop.
type DrainRequest struct {
	VM string `json:"vm"`
}

// DrainResponse is the response to a DrainRequest. It is sent after the VM has
// received the request.
type DrainResponse struct {
	VM     string `json:"vm"`
	Detail string `json:"detail,omitempty"`
}
