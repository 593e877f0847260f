// Package operator holds the operators' API of the agents: its JSON types and
// the client that pierctl uses. The API is HTTPS with mutual TLS; the caller's
// certificate must have the role operator.
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

// Accepted answers an accepted document, with status 200.
type SubmitResponse struct {
	// Generation is the one given to the document.
	Generation uint64 `json:"generation"`
	// Digest is document.Digest of the accepted document.
	Digest string `json:"digest"`
}

// Refusal answers any request that failed; the status is the code's.
type ErrorResponse struct {
	Code   result.Code     `json:"code"`
	Name   string          `json:"name"`
	Run    result.RunState `json:"run"`
	Detail string          `json:"detail"`
	// Generation is the winner's generation when the code is
	// DocumentConflict.
	Generation uint64 `json:"generation,omitempty"`
	// Faults are set when the code is DocumentInvalid.
	Faults document.Faults `json:"faults,omitempty"`
	// RetryAfterMS is the advised wait in milliseconds; zero advises against
	// a repeat.
	RetryAfterMS int64 `json:"retry_after_ms,omitempty"`
}

// NewRefusal describes err.
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

// Status is what one agent knows of the fleet.
type Status struct {
	// VM and Zone name the answering agent.
	VM   string `json:"vm"`
	Zone string `json:"zone"`
	// Router is the callers' address of the answering VM's router.
	Router string `json:"router"`
	// Generation is the document in force at the answering agent.
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
	Name     string `json:"name"`
	TakenOut bool   `json:"taken_out"`
	// Live is the number of live VMs.
	Live int `json:"live"`
	// Share is the ramped share of a returning zone, from 0 to 1.
	Share float64 `json:"share"`
}

// RollOut is the state of one version's roll-out.
type RollOut struct {
	Model   string  `json:"model"`
	Version string  `json:"version"`
	Share   float64 `json:"share"`
	// State is the roll-out's own state, for example "running" or "halted".
	State  string `json:"state"`
	Reason string `json:"reason,omitempty"`
}

// Platform is the platform service as the answering agent sees it.
type Platform struct {
	Reachable bool `json:"reachable"`
	// LastAnswerMS is the age of the last answer, in milliseconds.
	LastAnswerMS int64 `json:"last_answer_ms"`
	// Detail is the last error; empty while reachable.
	Detail string `json:"detail,omitempty"`
}

// Upstream is one upstream as the answering VM's router sees it.
type Upstream struct {
	Name    string `json:"name"`
	Zone    string `json:"zone"`
	State   string `json:"state"`
	Running int    `json:"running"`
	Detail  string `json:"detail,omitempty"`
}

// Timeline answers a time line query.
type Timeline struct {
	// Events are in stamp order.
	Events []timeline.Event `json:"events"`
	// Missing names live VMs whose events could not be read.
	Missing []string `json:"missing,omitempty"`
	// Gaps tell where rings had dropped events.
	Gaps []timeline.Gap `json:"gaps,omitempty"`
}

// DrainRequest asks for a VM's graceful stop.
type DrainRequest struct {
	VM string `json:"vm"`
}

// Drained answers a DrainRequest once the VM has been told.
type DrainResponse struct {
	VM     string `json:"vm"`
	Detail string `json:"detail,omitempty"`
}
