package router

import (
	"encoding/json"
	"math"
	"net/http"
	"strconv"
	"time"

	"github.com/cranberrypier/cranberrypier/internal/result"
)

// ErrorResponse is the JSON body of every error response. Chat-completions clients
// expect the outer object and the fields message, type and code.
type ErrorResponse struct {
	Error ErrorDetail `json:"error"`
}

// ErrorDetail describes the error.
type ErrorDetail struct {
	// Code is the numbered result code; docs/RESULT-CODES.md has the table.
	Code result.Code `json:"code"`
	// Type is the code's name.
	Type string `json:"type"`
	// Message describes the error for a person.
	Message string `json:"message"`
	// Run says whether the request ran: not_run, ran or unknown.
	Run result.RunState `json:"run"`
	// Retry is true if a retry after RetryAfterMS may succeed.
	Retry bool `json:"retry"`
	// RetryAfterMS is the time to wait before a retry in milliseconds; zero if
	// Retry is false.
	RetryAfterMS int64 `json:"retry_after_ms"`
	// RequestID identifies the request in the timeline.
	RequestID string `json:"request_id"`
}

// newErrorResponse returns the response body for e.
func newErrorResponse(e *result.Error, requestID string) ErrorResponse {
	return ErrorResponse{Error: ErrorDetail{
		Code:         e.Code,
		Type:         e.Code.Info().Name,
		Message:      e.Detail,
		Run:          e.Run,
		Retry:        e.RetryAfter > 0,
		RetryAfterMS: e.RetryAfter.Milliseconds(),
		RequestID:    requestID,
	}}
}

// writeError writes e as the response. The header X-Should-Retry keeps
// clients from retrying by the status alone.
func writeError(w http.ResponseWriter, e *result.Error, requestID string) {
	h := w.Header()
	h.Set("Content-Type", "application/json")
	h.Set("X-Should-Retry", strconv.FormatBool(e.RetryAfter > 0))
	if e.RetryAfter > 0 {
		h.Set("Retry-After", retryAfterSeconds(e.RetryAfter))
	}
	w.WriteHeader(e.Code.Info().HTTPStatus)
	_ = json.NewEncoder(w).Encode(newErrorResponse(e, requestID))
}

// retryAfterSeconds formats d for the Retry-After header, rounded up to whole
// seconds.
func retryAfterSeconds(d time.Duration) string {
	return strconv.Itoa(int(math.Ceil(d.Seconds())))
}
