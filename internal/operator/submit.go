package operator

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"time"

	"github.com/gravitational/trace"

	"github.com/cranberrypier/cranberrypier/internal/document"
	"github.com/cranberrypier/cranberrypier/internal/membership"
	"github.com/cranberrypier/cranberrypier/internal/pause"
	"github.com/cranberrypier/cranberrypier/internal/result"
)

const (
	// pollInterval is the time between two looks at the fleet while waiting.
	pollInterval = 200 * time.Millisecond
	// followInterval is the time between two reads of a followed time line;
	// each read asks every process.
	followInterval = time.Second
)

// Submission is a document on its way.
type Submission struct {
	Document *document.Document
	// Base is the generation that the document replaces.
	Base uint64
}

// Submitted is the end of a submission that succeeded.
type Submitted struct {
	Generation uint64
	// Found is true when the document was already in force, by an earlier try
	// whose answer was lost or by an equal document.
	Found bool
}

// Submit sends a document until the answer is definite or ctx ends. Repeats
// are safe: each is conditional on the base, so at most one is accepted. A
// conflict with a document of equal content is a success, since it is this
// submission whose answer was lost, or one that leaves nothing to do. When an
// answer was lost and another document is in force afterwards, the error is
// DocumentUnknown: this one may have been in force in between.
func (c *Client) Submit(ctx context.Context, s Submission) (Submitted, error) {
	encoded, err := document.Encode(s.Document)
	if err != nil {
		return Submitted{}, trace.Wrap(err)
	}
	maybeApplied := false
	accepted, err := c.putUntilDefinite(ctx, encoded, s.Base, &maybeApplied)
	if err == nil {
		return Submitted{Generation: accepted.Generation}, nil
	}
	if !result.Is(err, result.DocumentConflict) {
		return Submitted{}, trace.Wrap(c.markUnknown(err, maybeApplied))
	}
	return c.resolveConflict(ctx, s, err, maybeApplied)
}

// putUntilDefinite repeats the write until an agent decides or ctx ends.
func (c *Client) putUntilDefinite(ctx context.Context, encoded []byte, base uint64, maybeApplied *bool) (Accepted, error) {
	for {
		accepted, err := c.put(ctx, encoded, base, maybeApplied)
		if err == nil || isDefinite(err) || !pause.For(ctx, pollInterval) {
			return accepted, err
		}
	}
}

// definite reports whether a repeat of the same write can't end otherwise.
func isDefinite(err error) bool {
	return !isRetryable(err) || result.Is(err, result.PeerRefused)
}

// undecided makes an error say that the document may be in force, if so.
func (c *Client) markUnknown(err error, maybeApplied bool) error {
	if !maybeApplied || isDefinite(err) {
		return err
	}
	return result.New(result.DocumentUnknown, "no definite answer, the document may be in force; submit it again with the same base: %s", result.From(err).Detail)
}

// settle looks whether the document that won a conflict is this one.
func (c *Client) resolveConflict(ctx context.Context, s Submission, conflict error, maybeApplied bool) (Submitted, error) {
	var responseErr *RefusedError
	winnerGeneration := uint64(0)
	if errors.As(conflict, &responseErr) {
		winnerGeneration = responseErr.Refusal.Generation
	}
	submittedDigest, err := document.Digest(s.Document)
	if err != nil {
		return Submitted{}, trace.Wrap(err)
	}
	d, generation, err := c.documentAtLeast(ctx, winnerGeneration)
	if err != nil {
		return Submitted{}, trace.Wrap(c.markUnknown(err, true))
	}
	inForceDigest, err := document.Digest(d)
	if err != nil {
		return Submitted{}, trace.Wrap(err)
	}
	if submittedDigest == inForceDigest {
		return Submitted{Generation: generation, Found: true}, nil
	}
	if maybeApplied {
		return Submitted{}, trace.Wrap(result.New(result.DocumentUnknown,
			"generation %d of another operator is in force; an answer was lost, so this document may have been in force before it", generation))
	}
	return Submitted{}, trace.Wrap(conflict)
}

// documentFrom reads the document once an agent has the wanted generation; an
// agent may lag behind the one that answered the conflict.
func (c *Client) documentAtLeast(ctx context.Context, minGeneration uint64) (*document.Document, uint64, error) {
	for {
		d, generation, err := c.Document(ctx)
		if err == nil && generation >= minGeneration {
			return d, generation, nil
		}
		if !pause.For(ctx, pollInterval) {
			return nil, 0, trace.Wrap(result.New(result.DocumentUnknown, "no agent showed generation %d in time", minGeneration))
		}
		c.preferred = (c.preferred + 1) % len(c.agents)
	}
}

// Late is a member that does not have the wanted generation.
type Late struct {
	Member Member
}

// String gives the member in one line.
func (l Late) String() string {
	m := l.Member
	return fmt.Sprintf("%s (%s, %s) has generation %d", m.VM, m.Zone, m.Status, m.Generation)
}

// Wait waits until every live VM has the generation or ctx ends. It returns
// the VMs that lag: live ones make the error DocumentUnknown, dead or suspect
// ones are told without one, since they serve nothing or can't be asked.
func (c *Client) Wait(ctx context.Context, generation uint64) ([]Late, error) {
	var lagging []Late
	for {
		s, err := c.Status(ctx)
		if err == nil {
			lagging = laggingMembers(s, generation)
			if !slices.ContainsFunc(lagging, isLive) && len(s.Members) > 0 {
				return lagging, nil
			}
		}
		if !pause.For(ctx, pollInterval) {
			return lagging, trace.Wrap(result.New(result.DocumentUnknown, "generation %d is not in force on every live VM yet", generation))
		}
	}
}

func laggingMembers(s Status, generation uint64) []Late {
	var out []Late
	for _, m := range s.Members {
		if m.Generation < generation {
			out = append(out, Late{Member: m})
		}
	}
	return out
}

func isLive(l Late) bool {
	return l.Member.Status == membership.Alive || l.Member.Status == membership.Leaving
}
