// Package executions records the requests that a stand-in executed, so that
// checks do not depend on the counters of the system under test.
package executions

import (
	"encoding/json"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"time"
)

// Outcome is the result of an execution. It is empty while the execution runs.
type Outcome string

// Outcomes of executions. Silent, Cut, LostAnswer and Crossed are caused by the fault
// switches of package faults, and Failed by a bad version.
const (
	Done       Outcome = "done"
	Rejected   Outcome = "refused"
	Canceled   Outcome = "canceled"
	TimedOut   Outcome = "timed_out"
	Crashed    Outcome = "crashed"
	Cut        Outcome = "cut"
	Silent     Outcome = "silent"
	LostAnswer Outcome = "lost_answer"
	Failed     Outcome = "failed"
	Crossed    Outcome = "crossed"
)

// Execution is one request that arrived at a stand-in.
type Execution struct {
	Seq      int    `json:"seq"`
	StandIn  string `json:"standin"`
	Request  string `json:"request,omitempty"`
	ClaimKey string `json:"claim_key,omitempty"`
	// Target is "model@version" or "METHOD /path".
	Target      string `json:"target"`
	Incarnation string `json:"incarnation,omitempty"`
	// VM is the name of the sending VM, as its request header states it.
	VM string `json:"vm,omitempty"`
	// Ran is false for requests that were rejected before execution.
	Ran bool `json:"ran"`
	// Write is true for requests that change the state of a plain service.
	Write   bool  `json:"write,omitempty"`
	StartMS int64 `json:"start_ms"`
	EndMS   int64 `json:"end_ms,omitempty"`
	// Outcome is empty while the execution runs.
	Outcome Outcome `json:"outcome,omitempty"`
	// Concurrent is the number of concurrent requests at the start, including
	// this one.
	Concurrent int `json:"concurrent"`
	// Cold is true if the engine was cold at the start. ColdForMS is the time since
	// its cold start began.
	Cold      bool  `json:"cold,omitempty"`
	ColdForMS int64 `json:"cold_for_ms,omitempty"`
	// LeavingForMS is how long the engine had been leaving at the start.
	LeavingForMS int64 `json:"leaving_for_ms,omitempty"`
	Priority     int   `json:"priority,omitempty"`
	// ResumedAfter is the id of the last event that the caller had received.
	ResumedAfter uint64 `json:"resumed_after,omitempty"`
	// Tokens is the number of tokens sent in this execution.
	Tokens int `json:"tokens,omitempty"`
}

// Log records executions in order of arrival. It is safe for concurrent use.
type Log struct {
	standIn    string
	mu         sync.Mutex
	executions []Execution
}

// New returns an empty log for the named stand-in.
func New(standIn string) *Log { return &Log{standIn: standIn} }

// Start appends an execution and returns its sequence number, which starts at 1.
func (l *Log) Start(e Execution) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	e.Seq = len(l.executions) + 1
	e.StandIn = l.standIn
	e.StartMS = time.Now().UnixMilli()
	l.executions = append(l.executions, e)
	return e.Seq
}

// End records the outcome of an execution. Only the first call has an effect.
func (l *Log) End(seq int, outcome Outcome, tokens int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	execution := &l.executions[seq-1]
	if execution.Outcome != "" {
		return
	}
	execution.Outcome, execution.Tokens, execution.EndMS = outcome, tokens, time.Now().UnixMilli()
}

// Since returns a copy of the executions with a higher sequence number.
func (l *Log) Since(seq int) []Execution {
	l.mu.Lock()
	defer l.mu.Unlock()
	seq = min(max(seq, 0), len(l.executions))
	return slices.Clone(l.executions[seq:])
}

// ServeHTTP writes executions as JSON lines. The query parameter since is the
// sequence number after which they start.
func (l *Log) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	since, _ := strconv.Atoi(r.URL.Query().Get("since"))
	w.Header().Set("Content-Type", "application/x-ndjson")
	enc := json.NewEncoder(w)
	for _, e := range l.Since(since) {
		if enc.Encode(e) != nil {
			return
		}
	}
}
