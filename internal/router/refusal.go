package router

import (
	"encoding/json"
	"math"
	"net/http"
	"strconv"
	"time"

	"github.com/cranberrypier/cranberrypier/internal/result"
)

// Refusal is the JSON body of every refusal. The outer object and the fields
// message, type and code are those that chat-completions clients expect.
type ErrorResponse struct {
	Error ErrorDetail `json:"error"`
}

// RefusalError is the content of a refusal.
type ErrorDetail struct {
	// Code is the numbered result code; docs/RESULT-CODES.md has the table.
	Code result.Code `json:"code"`
	// Type is the code's name.
	Type string `json:"type"`
	// Message is one sentence for a person.
	Message string `json:"message"`
	// Run is not_run, ran or unknown.
	Run result.RunState `json:"run"`
	// Retry is true when a repeat after RetryAfterMS may succeed.
	Retry bool `json:"retry"`
	// RetryAfterMS is in milliseconds; zero without Retry.
	RetryAfterMS int64 `json:"retry_after_ms"`
	// RequestID finds the request in the time line.
	RequestID string `json:"request_id"`
}

// refusalOf builds the body for e.
func refusalOf(e *result.Error, requestID string) ErrorResponse {
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

// writeRefusal answers with e. The header X-Should-Retry stops clients that
// would otherwise repeat by status alone.
func writeRefusal(w http.ResponseWriter, e *result.Error, requestID string) {
	h := w.Header()
	h.Set("Content-Type", "application/json")
	h.Set("X-Should-Retry", strconv.FormatBool(e.RetryAfter > 0))
	if e.RetryAfter > 0 {
		h.Set("Retry-After", retryAfterSeconds(e.RetryAfter))
	}
	w.WriteHeader(e.Code.Info().HTTPStatus)
	_ = json.NewEncoder(w).Encode(refusalOf(e, requestID))
}

// retryAfterSeconds rounds up to the whole seconds that the header holds.
func retryAfterSeconds(d time.Duration) string {
	return strconv.Itoa(int(math.Ceil(d.Seconds())))
}
