package router

import (
	"bytes"
	"context"
	"crypto/sha256"
	"encoding/hex"
	"errors"
	"net/http"

	"github.com/go-chi/chi/v5"

	"github.com/cranberrypier/cranberrypier/internal/claims"
	"github.com/cranberrypier/cranberrypier/internal/delivery"
	"github.com/cranberrypier/cranberrypier/internal/document"
	"github.com/cranberrypier/cranberrypier/internal/result"
)

const (
	// maxCallAttempts limits the runs of an idempotent call.
	maxCallAttempts = 3
	// defaultCallClass is the class of calls for which neither the caller nor the
	// document names one.
	defaultCallClass = "lookup"
)

// serviceCall is one call of a plain service in progress.
type serviceCall struct {
	requestInfo
	service string
	call    *document.Call
	method  string
	// path is the path below the service, including the query.
	path   string
	header http.Header
	body   []byte
	// claimDigest is the digest of the claim's key; empty for idempotent calls.
	claimDigest string
}

// serveService handles /v1/services/{service}/*.
func (s *Server) serveService(w http.ResponseWriter, r *http.Request) {
	info, err := s.acceptRequest(r)
	w.Header().Set(headerRequestID, info.id)
	if err != nil {
		s.rejectRequest(w, r, info, err)
		return
	}
	defer s.gate.Leave()
	c, err := s.prepareCall(info, w, r)
	if err != nil {
		s.rejectRequest(w, r, info, err)
		return
	}
	release, err := s.admission.Admit(c.team, c.class.Priority, c.arrivedAt)
	if err != nil {
		s.rejectRequest(w, r, info, err)
		return
	}
	defer release()
	if c.call.Repeatable {
		s.runRepeatable(r.Context(), w, c)
		return
	}
	s.runClaimed(w, r, c)
}

// prepareCall looks up the call in the document and reads the body.
func (s *Server) prepareCall(info requestInfo, w http.ResponseWriter, r *http.Request) (*serviceCall, error) {
	service := chi.URLParam(r, "service")
	path := "/" + chi.URLParam(r, "*")
	if _, ok := info.index.Service(service); !ok {
		return nil, result.New(result.UnknownService, "there is no service %q", service)
	}
	if !info.index.MayCall(info.team.Name, service) {
		return nil, result.New(result.TeamNotAllowed, "team %s may not call service %s", info.team.Name, service)
	}
	call, ok := info.index.Call(service, r.Method, path)
	if !ok {
		return nil, result.New(result.UnknownPath, "service %s has no call %s %s", service, r.Method, path)
	}
	if r.Header.Get(headerClass) == "" {
		info.class = callClass(info, call)
	}
	var err error
	info.deadline, err = deadlineOf(r, info.arrivedAt, call.Timeout.D())
	if err != nil {
		return nil, err
	}
	body, err := readBody(w, r, s.limits.MaxBodyBytes.Bytes(), s.limits.BodyTimeout.D())
	if err != nil {
		return nil, err
	}
	if r.URL.RawQuery != "" {
		path += "?" + r.URL.RawQuery
	}
	info.fingerprint = fingerprintOf(info.team.Name, r.Method+r.URL.Path, body)
	c := &serviceCall{
		requestInfo: info, service: service, call: call,
		method: r.Method, path: path, header: forwardedHeader(r.Header), body: body,
	}
	return c, s.quarantine.Check(info.fingerprint, info.arrivedAt)
}

// callClass returns the class of a call whose caller names none.
func callClass(info requestInfo, call *document.Call) *document.Class {
	name := call.Class
	if name == "" {
		name = defaultCallClass
	}
	if c, ok := info.index.Class(name); ok {
		return c
	}
	return info.class
}

// forwardedHeader returns the header fields that are forwarded to the service.
// Credentials and the idempotency key are not forwarded; with the key, net/http
// would resend the call by itself.
func forwardedHeader(h http.Header) http.Header {
	out := http.Header{}
	for _, name := range []string{"Accept", "Accept-Language", "Content-Type"} {
		if v := h.Get(name); v != "" {
			out.Set(name, v)
		}
	}
	return out
}

// runRepeatable runs an idempotent call. Such calls may be retried and hedged.
func (s *Server) runRepeatable(ctx context.Context, w http.ResponseWriter, c *serviceCall) {
	spec := delivery.Spec{
		RequestID:       c.id,
		Idempotent:      true,
		Hedge:           true,
		HedgeDelay:      s.placer.HedgeDelay(c.service),
		ProgressTimeout: s.progressTimeouts.First,
		Deadline:        c.deadline,
		MaxAttempts:     maxCallAttempts,
	}
	out := s.deliverer.Run(ctx, spec, &callAttempt{s: s, call: c}, nil, nil, nil)
	if out.Err != nil {
		s.respondError(w, c.requestInfo, result.From(out.Err))
		return
	}
	s.billCall(c, c.id, out.Answer.Status)
	writeAnswer(w, out.Answer)
}

func writeAnswer(w http.ResponseWriter, a delivery.Answer) {
	if a.ContentType != "" {
		w.Header().Set("Content-Type", a.ContentType)
	}
	w.WriteHeader(a.Status)
	_, _ = w.Write(a.Body)
}

// runClaimed runs a call that must not be repeated. The caller gets a final answer
// by its deadline; a run that takes longer continues and its outcome is recorded.
func (s *Server) runClaimed(w http.ResponseWriter, r *http.Request, c *serviceCall) {
	issued, err := keyIssuedAt(r)
	if err != nil {
		s.respondError(w, c.requestInfo, result.From(err))
		return
	}
	ctx, cancel := context.WithDeadline(r.Context(), c.deadline)
	defer cancel()
	key, err := s.claims.Stamp(ctx, claims.Key{Team: c.team.Name, Value: r.Header.Get(headerKey), IssuedAt: issued})
	if err != nil {
		s.respondError(w, c.requestInfo, result.From(err))
		return
	}
	req := claims.Request{
		ID:          c.id,
		Key:         key,
		Fingerprint: claimFingerprint(c),
		Deadline:    c.deadline,
	}
	if resolved, err := key.Resolve(); err == nil {
		c.claimDigest = resolved.Digest().String()
	}
	out, err := s.claims.Do(ctx, req, func(ctx context.Context) claims.Outcome { return s.runOnce(ctx, c) })
	if err != nil {
		s.respondError(w, c.requestInfo, claimError(ctx, err))
		return
	}
	if out.Code != 0 {
		s.respondError(w, c.requestInfo, result.New(out.Code, "the call ended without an answer").WithRun(out.Run))
		return
	}
	if out.Replayed {
		w.Header().Set(headerReplayed, "true")
	}
	writeAnswer(w, delivery.Answer{Status: out.Status, ContentType: out.Header.Get("Content-Type"), Body: out.Body})
}

// claimError distinguishes an expired deadline from a closed caller connection.
func claimError(ctx context.Context, err error) *result.Error {
	if errors.Is(ctx.Err(), context.DeadlineExceeded) && result.Is(err, result.CallerGone) {
		return result.New(result.RunUnknown, "the deadline passed and the call may still be running; retry with the same key")
	}
	return result.From(err)
}

// claimFingerprint returns a hash of the call's content, used to reject a key that
// is reused with other content.
func claimFingerprint(c *serviceCall) string {
	h := sha256.New()
	h.Write([]byte(c.method))
	h.Write([]byte{0})
	h.Write([]byte(c.service))
	h.Write([]byte{0})
	h.Write([]byte(c.path))
	h.Write([]byte{0})
	h.Write(bytes.TrimSpace(c.body))
	return hex.EncodeToString(h.Sum(nil)[:16])
}

// runOnce dispatches a claimed call and waits for its outcome.
func (s *Server) runOnce(ctx context.Context, c *serviceCall) claims.Outcome {
	spec := delivery.Spec{
		RequestID:   c.id,
		Deadline:    c.deadline,
		MaxAttempts: maxCallAttempts,
	}
	type settledRun struct {
		settle delivery.RecordOutcome
		answer delivery.Answer
	}
	settled := make(chan settledRun, 1)
	out := s.deliverer.Run(ctx, spec, &callAttempt{s: s, call: c}, nil,
		func(st delivery.RecordOutcome, a delivery.Answer) { settled <- settledRun{st, a} }, nil)
	e := <-settled
	if e.settle.Complete {
		s.billCall(c, c.claimDigest, e.answer.Status)
		return claims.Outcome{
			Run:    result.Ran,
			Status: e.answer.Status,
			Header: http.Header{"Content-Type": {e.answer.ContentType}},
			Body:   e.answer.Body,
		}
	}
	code := result.RunUnknown
	if e.settle.Run == result.NotRun && out.Err != nil {
		code = result.From(out.Err).Code
	}
	return claims.Outcome{Run: e.settle.Run, Code: code}
}
