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

// minDeadline is the shortest deadline that a caller may request.
const minDeadline = time.Millisecond

// bearerKey returns the bearer key of a request, or an empty string if it has
// none.
func bearerKey(r *http.Request) string {
	scheme, key, ok := strings.Cut(r.Header.Get("Authorization"), " ")
	if !ok || !strings.EqualFold(scheme, "Bearer") {
		return ""
	}
	return strings.TrimSpace(key)
}

// classOf returns the class that the request names, or the team's default class.
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

// deadlineOf returns the time by which the caller gets its answer. The header
// holds a duration such as "1.5s" or an integer number of milliseconds. It can only
// shorten the limit.
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
			"the header %s is %q; expected a duration such as 1.5s or an integer number of milliseconds", headerDeadline, v)
	}
	return now.Add(min(d, limit)), nil
}

// keyIssuedAt returns the issue time that accompanies an idempotency key, or the
// zero time if there is none.
func keyIssuedAt(r *http.Request) (time.Time, error) {
	v := r.Header.Get(headerKeyIssued)
	if v == "" {
		return time.Time{}, nil
	}
	ms, err := strconv.ParseInt(v, 10, 64)
	if err != nil || ms <= 0 {
		return time.Time{}, result.New(result.IdempotencyKeyMalformed,
			"the header %s is %q; expected a Unix time in milliseconds", headerKeyIssued, v)
	}
	return time.UnixMilli(ms), nil
}
