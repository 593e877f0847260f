package load

import (
	"bufio"
	"encoding/json"
	"os"
	"path/filepath"
	"time"

	"github.com/gravitational/trace"

	"github.com/cranberrypier/cranberrypier/internal/result"
)

// Record is the result of one attempt as its caller saw it.
type Record struct {
	N      int    `json:"n"`
	Stream string `json:"stream"`
	Kind   Kind   `json:"kind"`
	Team   string `json:"team"`
	Phase  string `json:"phase"`
	// DueMS is the scheduled time since the start, in milliseconds.
	DueMS float64 `json:"due_ms"`
	// Target is the router's URL. Attempt numbers a caller's attempts from
	// 1. A resend of a failed write adds 2, because mode Twice uses the number
	// between for its second attempt.
	Target  string `json:"target"`
	Attempt int    `json:"attempt"`
	// ID is the request id in the router's response.
	ID string `json:"id"`
	// Key is the claim's digest, which upstreams log.
	Key string `json:"key,omitempty"`
	// FirstMS and TotalMS are the times to the first token and to the end. They
	// count from the scheduled time, for resends from the time of sending.
	FirstMS float64 `json:"first_ms,omitempty"`
	TotalMS float64 `json:"total_ms"`
	// MaxGapMS is the longest time between two consecutive tokens.
	MaxGapMS float64 `json:"worst_gap_ms,omitempty"`
	Status   int     `json:"status"`
	// Code, Run and RetryAfterMS are set for rejections.
	Code         result.Code     `json:"code,omitempty"`
	Run          result.RunState `json:"run,omitempty"`
	RetryAfterMS int64           `json:"retry_after_ms,omitempty"`
	// Model is the "model@version" of the response. MovedFrom is the session's
	// previous version if the session moved.
	Model     string  `json:"model,omitempty"`
	MovedFrom string  `json:"moved_from,omitempty"`
	Session   string  `json:"session,omitempty"`
	Tokens    int     `json:"tokens,omitempty"`
	Quality   float64 `json:"quality,omitempty"`
	// Prompt is the prompt as the engine receives it.
	Prompt string `json:"prompt,omitempty"`
	Text   string `json:"text,omitempty"`
	// MaxTokens limits the response; zero means no limit.
	MaxTokens int  `json:"max_tokens,omitempty"`
	Replayed  bool `json:"replayed,omitempty"`
	// Canceled is true if the caller itself closed the connection.
	Canceled bool `json:"left,omitempty"`
	// Error is a failure that the router did not report as a rejection, for
	// example a closed connection or an invalid body.
	Error string `json:"error,omitempty"`
	// Measured is false during the warm-up and for resends.
	Measured bool `json:"measured"`
}

// OK reports whether the caller received a complete response.
func (r *Record) OK() bool { return r.Error == "" && r.Status >= 200 && r.Status < 300 }

// Run holds the mix, the records and the stand-ins' logs of one run.
type Run struct {
	Label string
	// StartMS is the start time, in Unix milliseconds.
	StartMS  int64
	Mix      *Mix
	Records  []Record
	StandIns []StandInLog
}

// runFileName is the name of a run's file in its folder.
const runFileName = "run.json"

// Save writes the run to a folder, as one line of JSON.
func (r *Run) Save(dir string) error {
	if err := os.MkdirAll(dir, 0o755); err != nil {
		return trace.Wrap(err)
	}
	f, err := os.Create(filepath.Join(dir, runFileName))
	if err != nil {
		return trace.Wrap(err)
	}
	w := bufio.NewWriter(f)
	err = json.NewEncoder(w).Encode(r)
	if err == nil {
		err = w.Flush()
	}
	if closeErr := f.Close(); err == nil {
		err = closeErr
	}
	return trace.Wrap(err)
}

// OpenRun reads a run from its folder.
func OpenRun(dir string) (*Run, error) {
	raw, err := os.ReadFile(filepath.Join(dir, runFileName))
	if err != nil {
		return nil, trace.Wrap(err)
	}
	var r Run
	if err := json.Unmarshal(raw, &r); err != nil {
		return nil, trace.Wrap(err)
	}
	return &r, nil
}

// ms converts a duration to milliseconds.
func ms(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }
