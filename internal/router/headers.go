package router

import (
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/cranberrypier/cranberrypier/internal/document"
	"github.com/cranberrypier/cranberrypier/internal/result"
)

// Headers that callers send and receive.
const (
	headerRequestID = "X-Request-Id"
	headerSession   = "Cranberrypier-Session"
	headerDeadline  = "Cranberrypier-Deadline"
	headerClass     = "Cranberrypier-Class"
	headerModel     = "Cranberrypier-Model"
	headerMovedFrom = "Cranberrypier-Moved-From"
	headerReplayed  = "Cranberrypier-Replayed"
	headerKey       = "Idempotency-Key"
	headerKeyIssued = "Idempotency-Key-Issued"
)

// minDeadline is the shortest deadline that a caller may ask for.
const minDeadline = time.Millisecond

// bearer returns the bearer key of a request; empty if there is none.
func bearerKey(r *http.Request) string {
	scheme, key, ok := strings.Cut(r.Header.Get("Authorization"), " ")
	if !ok || !strings.EqualFold(scheme, "Bearer") {
		return ""
	}
	return strings.TrimSpace(key)
}

// classOf returns the class named by the request, else the team's default.
func classOf(idx *document.Index, team *document.Team, r *http.Request) (*document.Class, error) {
	name := r.Header.Get(headerClass)
	if name == "" {
		name = team.DefaultClass
	}
	c, ok := idx.Class(name)
	if !ok {
		return nil, result.New(result.BadRequest, "there is no request class %q", name)
	}
	return c, nil
}

// deadlineOf returns when the answer is due. The header holds a span such as
// "1.5s" or whole milliseconds; it may only shorten longest.
func deadlineOf(r *http.Request, now time.Time, limit time.Duration) (time.Time, error) {
	v := r.Header.Get(headerDeadline)
	if v == "" {
		return now.Add(limit), nil
	}
	d, err := time.ParseDuration(v)
	if ms, numErr := strconv.ParseInt(v, 10, 32); numErr == nil {
		d, err = time.Duration(ms)*time.Millisecond, nil
	}
	if err != nil || d < minDeadline {
		return time.Time{}, result.New(result.DeadlineMalformed,
			"the header %s holds %q; a span like 1.5s or whole milliseconds is expected", headerDeadline, v)
	}
	return now.Add(min(d, limit)), nil
}

// keyIssued returns the issue time beside an idempotency key; zero if absent.
func keyIssuedAt(r *http.Request) (time.Time, error) {
	v := r.Header.Get(headerKeyIssued)
	if v == "" {
		return time.Time{}, nil
	}
	ms, err := strconv.ParseInt(v, 10, 64)
	if err != nil || ms <= 0 {
		return time.Time{}, result.New(result.KeyMalformed,
			"the header %s holds %q; Unix milliseconds are expected", headerKeyIssued, v)
	}
	return time.UnixMilli(ms), nil
}
