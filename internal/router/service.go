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
	// maxCallAttempts bounds the runs of an idempotent call.
	maxCallAttempts = 3
	// defaultCallClass is the class of calls that name none.
	defaultCallClass = "lookup"
)

// serviceCall is one call of a plain service in progress.
type serviceCall struct {
	arrival
	service string
	call    *document.Call
	method  string
	// path is below the service, with its query.
	path   string
	header http.Header
	body   []byte
	// claim is the claim's digest; empty for idempotent calls.
	claim string
}

// serveService answers /v1/services/{service}/*.
func (s *Server) serveService(w http.ResponseWriter, r *http.Request) {
	a, err := s.arrive(r)
	w.Header().Set(headerRequestID, a.id)
	if err != nil {
		s.refuse(w, r, a, err)
		return
	}
	defer s.gate.Leave()
	c, err := s.prepareCall(a, w, r)
	if err != nil {
		s.refuse(w, r, a, err)
		return
	}
	release, err := s.admission.Admit(c.team, c.class.Priority, c.at)
	if err != nil {
		s.refuse(w, r, a, err)
		return
	}
	defer release()
	if c.call.Repeatable {
		s.runRepeatable(r.Context(), w, c)
		return
	}
	s.runClaimed(w, r, c)
}

// prepareCall finds the call in the document and reads the body.
func (s *Server) prepareCall(a arrival, w http.ResponseWriter, r *http.Request) (*serviceCall, error) {
	service := chi.URLParam(r, "service")
	path := "/" + chi.URLParam(r, "*")
	if _, ok := a.index.Service(service); !ok {
		return nil, result.New(result.UnknownService, "there is no service %q", service)
	}
	if !a.index.MayCall(a.team.Name, service) {
		return nil, result.New(result.TeamNotAllowed, "team %s may not call service %s", a.team.Name, service)
	}
	call, ok := a.index.Call(service, r.Method, path)
	if !ok {
		return nil, result.New(result.UnknownPath, "service %s has no call %s %s", service, r.Method, path)
	}
	if r.Header.Get(headerClass) == "" {
		a.class = callClass(a, call)
	}
	var err error
	a.deadline, err = deadlineOf(r, a.at, call.Timeout.D())
	if err != nil {
		return nil, err
	}
	body, err := readBody(w, r, s.limits.BodyBytes.Bytes(), s.limits.BodyTime.D())
	if err != nil {
		return nil, err
	}
	if r.URL.RawQuery != "" {
		path += "?" + r.URL.RawQuery
	}
	a.fingerprint = fingerprintOf(a.team.Name, r.Method+r.URL.Path, body)
	c := &serviceCall{
		arrival: a, service: service, call: call,
		method: r.Method, path: path, header: callHeader(r.Header), body: body,
	}
	return c, s.quarantine.Check(a.fingerprint, a.at)
}

// callClass is the class of a call whose caller names none.
func callClass(a arrival, call *document.Call) *document.Class {
	name := call.Class
	if name == "" {
		name = defaultCallClass
	}
	if c, ok := a.index.Class(name); ok {
		return c
	}
	return a.class
}

// callHeader keeps the header fields that concern the service. Credentials and
// the idempotency key stay here: the key would make net/http resend the call.
func callHeader(h http.Header) http.Header {
	out := http.Header{}
	for _, name := range []string{"Accept", "Accept-Language", "Content-Type"} {
		if v := h.Get(name); v != "" {
			out.Set(name, v)
		}
	}
	return out
}

// runRepeatable runs an idempotent call, which may be retried and hedged.
func (s *Server) runRepeatable(ctx context.Context, w http.ResponseWriter, c *serviceCall) {
	spec := delivery.Spec{
		RequestID:       c.id,
		Repeatable:      true,
		Hedge:           true,
		HedgeDelay:      s.placer.HedgeAfter(c.service),
		ProgressTimeout: s.silence.First,
		Deadline:        c.deadline,
		MaxAttempts:     maxCallAttempts,
	}
	out := s.deliverer.Run(ctx, spec, &callAttempt{s: s, call: c}, nil, nil, nil)
	if out.Err != nil {
		s.finishRefused(w, c.arrival, result.From(out.Err))
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

// runClaimed runs a call that may not be repeated. The caller gets its final
// answer at its deadline at the latest; the run itself goes on and its outcome
// is recorded.
func (s *Server) runClaimed(w http.ResponseWriter, r *http.Request, c *serviceCall) {
	issued, err := keyIssued(r)
	if err != nil {
		s.finishRefused(w, c.arrival, result.From(err))
		return
	}
	ctx, cancel := context.WithDeadline(r.Context(), c.deadline)
	defer cancel()
	key, err := s.claims.Stamp(ctx, claims.Key{Team: c.team.Name, Key: r.Header.Get(headerKey), IssuedAt: issued})
	if err != nil {
		s.finishRefused(w, c.arrival, result.From(err))
		return
	}
	req := claims.Request{
		ID:          c.id,
		Key:         key,
		Fingerprint: claimFingerprint(c),
		Deadline:    c.deadline,
	}
	if resolved, err := key.Resolve(); err == nil {
		c.claim = resolved.Digest().String()
	}
	out, err := s.claims.Do(ctx, req, func(ctx context.Context) claims.Outcome { return s.runOnce(ctx, c) })
	if err != nil {
		s.finishRefused(w, c.arrival, claimError(ctx, err))
		return
	}
	if out.Code != 0 {
		s.finishRefused(w, c.arrival, result.New(out.Code, "the call ended without an answer").WithRun(out.Run))
		return
	}
	if out.Replayed {
		w.Header().Set(headerReplayed, "true")
	}
	writeAnswer(w, delivery.Answer{Status: out.Status, ContentType: out.Header.Get("Content-Type"), Body: out.Body})
}

// claimError tells the end of the deadline from the end of the connection.
func claimError(ctx context.Context, err error) *result.Error {
	if errors.Is(ctx.Err(), context.DeadlineExceeded) && result.Is(err, result.CallerGone) {
		return result.New(result.RunUnknown, "the deadline passed while the call may be running; ask again with the same key")
	}
	return result.From(err)
}

// claimFingerprint tells whether a key returns with other content.
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

// runOnce dispatches a claimed call and waits until its outcome is known.
func (s *Server) runOnce(ctx context.Context, c *serviceCall) claims.Outcome {
	spec := delivery.Spec{
		RequestID:   c.id,
		Deadline:    c.deadline,
		MaxAttempts: maxCallAttempts,
	}
	type end struct {
		settle delivery.Settle
		answer delivery.Answer
	}
	settled := make(chan end, 1)
	out := s.deliverer.Run(ctx, spec, &callAttempt{s: s, call: c}, nil,
		func(st delivery.Settle, a delivery.Answer) { settled <- end{st, a} }, nil)
	e := <-settled
	if e.settle.Complete {
		s.billCall(c, c.claim, e.answer.Status)
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
