package distribution

import (
	"bytes"
	"time"

	"github.com/cranberrypier/cranberrypier/internal/document"
	"github.com/cranberrypier/cranberrypier/internal/membership"
	"github.com/cranberrypier/cranberrypier/internal/platform"
	"github.com/cranberrypier/cranberrypier/internal/result"
)

// retrySubmission is the wait between tries of one submission.
const retrySubmission = 200 * time.Millisecond

// Submission decides one operator's document. It reads the object, compares
// the base, and writes by conditional update; a write without an answer is
// settled by reading again and, where it is not found, by repeating the same
// conditional update, which can't take effect twice.
//
// Invariant: it ends in acceptance only if the object has held the document at
// the generation that it reports, and with a run state of not_run only if no
// write of it can take effect any more.
type Submission struct {
	document *document.Document
	base     uint64
	// floor is the generation in force at this VM; the object may hold less
	// after the service has lost writes.
	floor  uint64
	until  time.Time
	digest string
	// unsure is true once a write may have taken effect.
	unsure bool
	text   []byte
	target uint64
}

// Outcome ends a submission.
type Outcome struct {
	// Generation is the accepted document's, or the winner's in a conflict.
	Generation uint64
	Digest     string
	Text       []byte
	// Err is nil when the document is accepted.
	Err error
}

// Next is what a submission wants done. Exactly one of Read, Write and Done is
// set.
type Next struct {
	// Wait comes before the call.
	Wait time.Duration
	Read bool
	// Write is the value to write over Base; Base zero creates the object.
	Write []byte
	Base  platform.Version
	Done  *Outcome
}

// NewSubmission checks a document against the schemas that all live VMs
// understand. The error carries DocumentInvalid or DocumentUnsupported.
func NewSubmission(text []byte, base, floor uint64, view membership.View, fleet string, until time.Time) (*Submission, error) {
	d, err := document.Load(text)
	if err != nil {
		return nil, err
	}
	if d.Fleet != fleet {
		return nil, result.New(result.DocumentInvalid, "the document is of fleet %q, this is %q", d.Fleet, fleet)
	}
	for _, m := range view.Members {
		if m.Status != membership.Dead && m.Schema > 0 && m.Schema < d.Schema {
			return nil, result.New(result.DocumentUnsupported, "schema %d is not understood by VM %s, which knows up to %d", d.Schema, m.VM, m.Schema)
		}
	}
	digest, err := document.Digest(d)
	if err != nil {
		return nil, err
	}
	if base == 0 {
		base = d.Base
	}
	return &Submission{document: d, base: base, floor: floor, until: until, digest: digest}, nil
}

// Start begins the submission.
func (s *Submission) Start() Next { return Next{Read: true} }

// HaveRead takes the object as read; err is the read's.
func (s *Submission) HandleRead(now time.Time, o platform.Object, err error) Next {
	if result.Is(err, result.PlatformNotFound) {
		o, err = platform.Object{}, nil
	}
	if err != nil {
		return s.again(now, err)
	}
	stored := s.stored(o)
	if s.unsure && stored.Generation == s.target && stored.Digest == s.digest {
		return s.accepted()
	}
	winner := max(stored.Generation, s.floor)
	if s.unsure && winner > s.target {
		return Next{Done: &Outcome{Generation: winner, Err: result.New(result.DocumentUnknown,
			"generation %d is in force; the document may have been in force before it", winner)}}
	}
	if winner != s.base {
		return s.lost(winner)
	}
	if err := s.encode(); err != nil {
		return Next{Done: &Outcome{Err: err}}
	}
	return Next{Write: s.text, Base: o.Version}
}

// stored reads what matters of the object; an unreadable one still has its
// generation.
func (s *Submission) stored(o platform.Object) Document {
	if len(bytes.TrimSpace(o.Value)) == 0 {
		return Document{}
	}
	d, _ := DecodeStored(o.Value)
	return d
}

func (s *Submission) encode() error {
	d := *s.document
	d.Base = s.base
	d.Generation = s.base + 1
	text, err := document.EncodeStored(&d)
	if err != nil {
		return err
	}
	s.text, s.target = text, d.Generation
	return nil
}

// HaveWritten takes the end of the write.
func (s *Submission) HandleWrite(now time.Time, err error) Next {
	switch {
	case err == nil:
		return s.accepted()
	case result.Is(err, result.PlatformConflict):
		return Next{Read: true}
	case result.Is(err, result.PlatformTooLarge):
		return Next{Done: &Outcome{Err: result.New(result.DocumentInvalid, "the document is over %d bytes", platform.MaxValueBytes)}}
	case result.From(err).Run != result.NotRun:
		s.unsure = true
	}
	return s.again(now, err)
}

func (s *Submission) again(now time.Time, err error) Next {
	if now.Add(retrySubmission).Before(s.until) {
		return Next{Wait: retrySubmission, Read: true}
	}
	if s.unsure {
		return Next{Done: &Outcome{Err: result.New(result.DocumentUnknown, "the document may have been accepted: %v", err)}}
	}
	return Next{Done: &Outcome{Err: result.New(result.DocumentNotAccepted, "the platform's service does not answer: %v", err)}}
}

func (s *Submission) accepted() Next {
	return Next{Done: &Outcome{Generation: s.target, Digest: s.digest, Text: s.text}}
}

func (s *Submission) lost(winner uint64) Next {
	err := result.New(result.DocumentConflict, "the base is generation %d, generation %d is in force", s.base, winner)
	return Next{Done: &Outcome{Generation: winner, Err: err}}
}
