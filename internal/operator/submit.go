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
type SubmitResult struct {
	Generation uint64
	// Found is true when the document was already in force, by an earlier try
	// whose answer was lost or by an equal document.
	AlreadyInForce bool
}

// Submit sends a document until the answer is definite or ctx ends. Repeats
// are safe: each is conditional on the base, so at most one is accepted. A
// conflict with a document of equal content is a success, since it is this
// submission whose answer was lost, or one that leaves nothing to do. When an
// answer was lost and another document is in force afterwards, the error is
// DocumentUnknown: this one may have been in force in between.
func (c *Client) Submit(ctx context.Context, s Submission) (SubmitResult, error) {
	b, err := document.Encode(s.Document)
	if err != nil {
		return SubmitResult{}, trace.Wrap(err)
	}
	doubt := false
	accepted, err := c.putUntilDefinite(ctx, b, s.Base, &doubt)
	if err == nil {
		return SubmitResult{Generation: accepted.Generation}, nil
	}
	if !result.Is(err, result.DocumentConflict) {
		return SubmitResult{}, trace.Wrap(c.undecided(err, doubt))
	}
	return c.settle(ctx, s, err, doubt)
}

// putUntilDefinite repeats the write until an agent decides or ctx ends.
func (c *Client) putUntilDefinite(ctx context.Context, b []byte, base uint64, doubt *bool) (SubmitResponse, error) {
	for {
		a, err := c.put(ctx, b, base, doubt)
		if err == nil || definite(err) || !pause.For(ctx, pollInterval) {
			return a, err
		}
	}
}

// definite reports whether a repeat of the same write can't end otherwise.
func definite(err error) bool {
	return !movesOn(err) || result.Is(err, result.PeerRefused)
}

// undecided makes an error say that the document may be in force, if so.
func (c *Client) undecided(err error, doubt bool) error {
	if !doubt || definite(err) {
		return err
	}
	return result.New(result.DocumentUnknown, "no definite answer, the document may be in force; submit it again with the same base: %s", result.From(err).Detail)
}

// settle looks whether the document that won a conflict is this one.
func (c *Client) settle(ctx context.Context, s Submission, conflict error, doubt bool) (SubmitResult, error) {
	var refused *ResponseError
	winner := uint64(0)
	if errors.As(conflict, &refused) {
		winner = refused.Response.Generation
	}
	own, err := document.Digest(s.Document)
	if err != nil {
		return SubmitResult{}, trace.Wrap(err)
	}
	d, generation, err := c.documentFrom(ctx, winner)
	if err != nil {
		return SubmitResult{}, trace.Wrap(c.undecided(err, true))
	}
	inForce, err := document.Digest(d)
	if err != nil {
		return SubmitResult{}, trace.Wrap(err)
	}
	if own == inForce {
		return SubmitResult{Generation: generation, AlreadyInForce: true}, nil
	}
	if doubt {
		return SubmitResult{}, trace.Wrap(result.New(result.DocumentUnknown,
			"generation %d of another operator is in force; an answer was lost, so this document may have been in force before it", generation))
	}
	return SubmitResult{}, trace.Wrap(conflict)
}

// documentFrom reads the document once an agent has the wanted generation; an
// agent may lag behind the one that answered the conflict.
func (c *Client) documentFrom(ctx context.Context, wanted uint64) (*document.Document, uint64, error) {
	for {
		d, generation, err := c.Document(ctx)
		if err == nil && generation >= wanted {
			return d, generation, nil
		}
		if !pause.For(ctx, pollInterval) {
			return nil, 0, trace.Wrap(result.New(result.DocumentUnknown, "no agent showed generation %d in time", wanted))
		}
		c.first = (c.first + 1) % len(c.agents)
	}
}

// Late is a member that does not have the wanted generation.
type LaggingMember struct {
	Member Member
}

// String gives the member in one line.
func (l LaggingMember) String() string {
	m := l.Member
	return fmt.Sprintf("%s (%s, %s) has generation %d", m.VM, m.Zone, m.Status, m.Generation)
}

// Wait waits until every live VM has the generation or ctx ends. It returns
// the VMs that lag: live ones make the error DocumentUnknown, dead or suspect
// ones are told without one, since they serve nothing or can't be asked.
func (c *Client) Wait(ctx context.Context, generation uint64) ([]LaggingMember, error) {
	var late []LaggingMember
	for {
		s, err := c.Status(ctx)
		if err == nil {
			late = behind(s, generation)
			if !slices.ContainsFunc(late, isLive) && len(s.Members) > 0 {
				return late, nil
			}
		}
		if !pause.For(ctx, pollInterval) {
			return late, trace.Wrap(result.New(result.DocumentUnknown, "generation %d is not in force on every live VM yet", generation))
		}
	}
}

func behind(s Status, generation uint64) []LaggingMember {
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
