// Package executions records what a stand-in really did, so that proofs need
// not trust the counters of the system under test.
package executions

import (
	"encoding/json"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"time"
)

// Outcome says how an execution ended; it is empty while it runs.
type Outcome string

// Outcomes of executions.
const (
	Done       Outcome = "done"
	Refused    Outcome = "refused"
	Canceled   Outcome = "canceled"
	TimedOut   Outcome = "timed_out"
	Crashed    Outcome = "crashed"
	Cut        Outcome = "cut"
	Silent     Outcome = "silent"
	LostAnswer Outcome = "lost_answer"
	Failed     Outcome = "failed"
	Crossed    Outcome = "crossed"
)

// Execution is one arrival of work at a stand-in.
type Execution struct {
	Seq      int    `json:"seq"`
	StandIn  string `json:"standin"`
	Request  string `json:"request,omitempty"`
	ClaimKey string `json:"claim_key,omitempty"`
	// Target is "model@version" or "METHOD /path".
	Target      string `json:"target"`
	Incarnation string `json:"incarnation,omitempty"`
	// VM is the sender by its own header.
	VM string `json:"vm,omitempty"`
	// Ran is false for work that was refused before it began.
	Ran bool `json:"ran"`
	// Write is true for calls of a plain service that change its state.
	Write   bool  `json:"write,omitempty"`
	StartMS int64 `json:"start_ms"`
	EndMS   int64 `json:"end_ms,omitempty"`
	// Outcome is empty while the work runs.
	Outcome Outcome `json:"outcome,omitempty"`
	// Concurrent is the work present at the start, this one included.
	Concurrent int `json:"concurrent"`
	// Cold is true when the engine was cold at the start, for ColdForMS.
	Cold      bool  `json:"cold,omitempty"`
	ColdForMS int64 `json:"cold_for_ms,omitempty"`
	// LeavingForMS is how long the engine had been leaving at the start.
	LeavingForMS int64 `json:"leaving_for_ms,omitempty"`
	Priority     int   `json:"priority,omitempty"`
	// ResumedAfter is the last event that the caller already had.
	ResumedAfter uint64 `json:"resumed_after,omitempty"`
	// Tokens is the number of tokens sent in this execution.
	Tokens int `json:"tokens,omitempty"`
}

// Log holds executions in order of arrival. It is safe for concurrent use.
type Log struct {
	standIn string
	mu      sync.Mutex
	rows    []Execution
}

// New returns an empty log of the named stand-in.
func New(standIn string) *Log { return &Log{standIn: standIn} }

// Start appends an execution and returns its sequence number, from 1.
func (l *Log) Start(e Execution) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	e.Seq = len(l.rows) + 1
	e.StandIn = l.standIn
	e.StartMS = time.Now().UnixMilli()
	l.rows = append(l.rows, e)
	return e.Seq
}

// End notes how an execution ended. Only the first call counts.
func (l *Log) End(seq int, o Outcome, tokens int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	row := &l.rows[seq-1]
	if row.Outcome != "" {
		return
	}
	row.Outcome, row.Tokens, row.EndMS = o, tokens, time.Now().UnixMilli()
}

// Since returns a copy of the executions after the sequence number.
func (l *Log) Since(seq int) []Execution {
	l.mu.Lock()
	defer l.mu.Unlock()
	seq = min(max(seq, 0), len(l.rows))
	return slices.Clone(l.rows[seq:])
}

// ServeHTTP writes the executions after the parameter since as JSON lines.
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
