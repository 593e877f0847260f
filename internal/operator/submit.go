package operator

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"time"

	"github.com/gravitational/trace"

	"github.com/cranberrypier/cranberrypier/internal/ctxwait"
	"github.com/cranberrypier/cranberrypier/internal/document"
	"github.com/cranberrypier/cranberrypier/internal/membership"
	"github.com/cranberrypier/cranberrypier/internal/result"
)

const (
	// pollInterval is the time between two calls while a submission or a wait
	// polls the agents.
	pollInterval = 200 * time.Millisecond
	// followInterval is the time between two reads of pierctl timeline
	// --follow. Each read queries every process.
	followInterval = time.Second
)

// Submission is a document to submit.
type Submission struct {
	Document *document.Document
	// Base is the generation that the document replaces.
	Base uint64
}

// SubmitResult is the result of a successful submission.
type SubmitResult struct {
	Generation uint64
	// AlreadyInForce is true if an equal document was in force already, for
	// example because the response to an earlier attempt was lost.
	AlreadyInForce bool
}

// Submit sends a document until the outcome is definite or ctx ends. Retries
// are safe: each is conditional on the base, so at most one is accepted.
//
// A conflict with a document of equal content is a success: either an earlier
// attempt was accepted and its response was lost, or the fleet already has that
// content. If a response was lost and a different document is in force
// afterwards, the error is DocumentUnknown, since this document may have been
// in force in between.
func (c *Client) Submit(ctx context.Context, s Submission) (SubmitResult, error) {
	encoded, err := document.Encode(s.Document)
	if err != nil {
		return SubmitResult{}, trace.Wrap(err)
	}
	maybeApplied := false
	accepted, err := c.putUntilDefinite(ctx, encoded, s.Base, &maybeApplied)
	if err == nil {
		return SubmitResult{Generation: accepted.Generation}, nil
	}
	if !result.Is(err, result.DocumentConflict) {
		return SubmitResult{}, trace.Wrap(c.markUnknown(err, maybeApplied))
	}
	return c.resolveConflict(ctx, s, err, maybeApplied)
}

// putUntilDefinite retries the write until the outcome is definite or ctx ends.
func (c *Client) putUntilDefinite(ctx context.Context, encoded []byte, base uint64, maybeApplied *bool) (SubmitResponse, error) {
	for {
		accepted, err := c.put(ctx, encoded, base, maybeApplied)
		if err == nil || isDefinite(err) || !ctxwait.For(ctx, pollInterval) {
			return accepted, err
		}
	}
}

// isDefinite reports whether err is final, because a retry of the same write would
// fail the same way.
func isDefinite(err error) bool {
	return !isRetryable(err) || result.Is(err, result.PeerRefused)
}

// markUnknown turns err into DocumentUnknown if the document may be in force.
func (c *Client) markUnknown(err error, maybeApplied bool) error {
	if !maybeApplied || isDefinite(err) {
		return err
	}
	return result.New(result.DocumentUnknown, "no definite response, the document may be in force; submit it again with the same base: %s", result.From(err).Detail)
}

// resolveConflict reads the document that caused a conflict and compares it
// with the submitted one.
func (c *Client) resolveConflict(ctx context.Context, s Submission, conflict error, maybeApplied bool) (SubmitResult, error) {
	var responseErr *ResponseError
	winnerGeneration := uint64(0)
	if errors.As(conflict, &responseErr) {
		winnerGeneration = responseErr.Response.Generation
	}
	submittedDigest, err := document.Digest(s.Document)
	if err != nil {
		return SubmitResult{}, trace.Wrap(err)
	}
	d, generation, err := c.documentAtLeast(ctx, winnerGeneration)
	if err != nil {
		return SubmitResult{}, trace.Wrap(c.markUnknown(err, true))
	}
	inForceDigest, err := document.Digest(d)
	if err != nil {
		return SubmitResult{}, trace.Wrap(err)
	}
	if submittedDigest == inForceDigest {
		return SubmitResult{Generation: generation, AlreadyInForce: true}, nil
	}
	if maybeApplied {
		return SubmitResult{}, trace.Wrap(result.New(result.DocumentUnknown,
			"generation %d of another operator is in force; a response was lost, so this document may have been in force before it", generation))
	}
	return SubmitResult{}, trace.Wrap(conflict)
}

// documentAtLeast reads the document from the first agent that has
// minGeneration. An agent may lag behind the one that reported the conflict.
func (c *Client) documentAtLeast(ctx context.Context, minGeneration uint64) (*document.Document, uint64, error) {
	for {
		d, generation, err := c.Document(ctx)
		if err == nil && generation >= minGeneration {
			return d, generation, nil
		}
		if !ctxwait.For(ctx, pollInterval) {
			return nil, 0, trace.Wrap(result.New(result.DocumentUnknown, "no agent had generation %d in time", minGeneration))
		}
		c.preferred = (c.preferred + 1) % len(c.agents)
	}
}

// LaggingMember is a member that does not have the expected generation.
type LaggingMember struct {
	Member Member
}

// String formats the member in one line.
func (l LaggingMember) String() string {
	m := l.Member
	return fmt.Sprintf("%s (%s, %s) has generation %d", m.VM, m.Zone, m.Status, m.Generation)
}

// Wait waits until every live VM has the generation or ctx ends. It returns
// the VMs that lag. The error is DocumentUnknown if a live VM lags. Dead or
// suspect VMs cause no error, since they serve nothing or cannot be queried.
func (c *Client) Wait(ctx context.Context, generation uint64) ([]LaggingMember, error) {
	var lagging []LaggingMember
	for {
		s, err := c.Status(ctx)
		if err == nil {
			lagging = laggingMembers(s, generation)
			if !slices.ContainsFunc(lagging, isLive) && len(s.Members) > 0 {
				return lagging, nil
			}
		}
		if !ctxwait.For(ctx, pollInterval) {
			return lagging, trace.Wrap(result.New(result.DocumentUnknown, "generation %d is not in force on every live VM yet", generation))
		}
	}
}

func laggingMembers(s Status, generation uint64) []LaggingMember {
	var out []LaggingMember
	for _, m := range s.Members {
		if m.Generation < generation {
			out = append(out, LaggingMember{Member: m})
		}
	}
	return out
}

func isLive(l LaggingMember) bool {
	return l.Member.Status == membership.Alive || l.Member.Status == membership.Leaving
}
