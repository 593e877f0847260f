package distribution

import (
	"bytes"
	"time"

	"github.com/cranberrypier/cranberrypier/internal/document"
	"github.com/cranberrypier/cranberrypier/internal/membership"
	"github.com/cranberrypier/cranberrypier/internal/platform"
	"github.com/cranberrypier/cranberrypier/internal/result"
)

// submitRetryInterval is the wait before a submission's call is retried.
const submitRetryInterval = 200 * time.Millisecond

// Submission is the state machine of one operator's submission. It reads the
// object, compares its generation with the base, and writes the document by a
// conditional update. When a write gets no response, the submission reads the
// object again. If the object does not contain the document, it repeats the same
// conditional update, which can't take effect twice.
//
// Invariant: a submission ends as accepted only if the object has contained the
// document with the reported generation. It ends with the run state not_run only
// if no write of the document can still take effect.
type Submission struct {
	document *document.Document
	base     uint64
	// inForce is the generation in force at this VM. The object may have a
	// lower one after the store has lost writes.
	inForce  uint64
	deadline time.Time
	digest   string
	// maybeWritten is true once a write may have taken effect.
	maybeWritten bool
	text         []byte
	target       uint64
}

// Outcome is the result of a submission.
type Outcome struct {
	// Generation is the generation of the accepted document or, after a
	// conflict, of the document in force.
	Generation uint64
	Digest     string
	Text       []byte
	// Err is nil when the document was accepted.
	Err error
}

// Next is the next step of a submission. Exactly one of Read, Write and Done is
// set.
type Next struct {
	// Wait is the delay before the call.
	Wait time.Duration
	Read bool
	// Write is the value that replaces the object's version Base. With a Base
	// of zero the object is created.
	Write       []byte
	BaseVersion platform.Version
	Done        *Outcome
}

// NewSubmission validates a document and checks that all VMs that are not dead
// support its schema. The error carries DocumentInvalid or DocumentUnsupported.
func NewSubmission(text []byte, base, inForce uint64, view membership.View, fleet string, deadline time.Time) (*Submission, error) {
	d, err := document.Load(text)
	if err != nil {
		return nil, err
	}
	if d.Fleet != fleet {
		return nil, result.New(result.DocumentInvalid, "the document is for fleet %q, this fleet is %q", d.Fleet, fleet)
	}
	for _, m := range view.Members {
		if m.Status != membership.Dead && m.Schema > 0 && m.Schema < d.Schema {
			return nil, result.New(result.DocumentUnsupported, "schema %d is not supported by VM %s, which supports schemas up to %d", d.Schema, m.VM, m.Schema)
		}
	}
	digest, err := document.Digest(d)
	if err != nil {
		return nil, err
	}
	if base == 0 {
		base = d.Base
	}
	return &Submission{document: d, base: base, inForce: inForce, deadline: deadline, digest: digest}, nil
}

// Start returns the first step.
func (s *Submission) Start() Next { return Next{Read: true} }

// HandleRead processes the result of a read and returns the next step.
func (s *Submission) HandleRead(now time.Time, o platform.Object, err error) Next {
	if result.Is(err, result.PlatformNotFound) {
		o, err = platform.Object{}, nil
	}
	if err != nil {
		return s.retry(now, err)
	}
	stored := s.decodeStored(o)
	if s.maybeWritten && stored.Generation == s.target && stored.Digest == s.digest {
		return s.accepted()
	}
	winner := max(stored.Generation, s.inForce)
	if s.maybeWritten && winner > s.target {
		return Next{Done: &Outcome{Generation: winner, Err: result.New(result.DocumentUnknown,
			"generation %d is in force; the submitted document may have been accepted before it", winner)}}
	}
	if winner != s.base {
		return s.conflict(winner)
	}
	if err := s.encode(); err != nil {
		return Next{Done: &Outcome{Err: err}}
	}
	return Next{Write: s.text, BaseVersion: o.Version}
}

// decodeStored decodes the object's document. A document that this build can't
// apply still has its generation.
func (s *Submission) decodeStored(o platform.Object) Document {
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

// HandleWrite processes the result of a write and returns the next step.
func (s *Submission) HandleWrite(now time.Time, err error) Next {
	switch {
	case err == nil:
		return s.accepted()
	case result.Is(err, result.PlatformConflict):
		return Next{Read: true}
	case result.Is(err, result.PlatformTooLarge):
		return Next{Done: &Outcome{Err: result.New(result.DocumentInvalid, "the document is larger than %d bytes", platform.MaxValueBytes)}}
	case result.From(err).Run != result.NotRun:
		s.maybeWritten = true
	}
	return s.retry(now, err)
}

func (s *Submission) retry(now time.Time, err error) Next {
	if now.Add(submitRetryInterval).Before(s.deadline) {
		return Next{Wait: submitRetryInterval, Read: true}
	}
	if s.maybeWritten {
		return Next{Done: &Outcome{Err: result.New(result.DocumentUnknown, "the result of the write is unknown, the document may have been accepted: %v", err)}}
	}
	return Next{Done: &Outcome{Err: result.New(result.DocumentNotAccepted, "the document was not accepted, the platform's store is unavailable: %v", err)}}
}

func (s *Submission) accepted() Next {
	return Next{Done: &Outcome{Generation: s.target, Digest: s.digest, Text: s.text}}
}

func (s *Submission) conflict(winner uint64) Next {
	err := result.New(result.DocumentConflict, "the document is based on generation %d, but generation %d is in force", s.base, winner)
	return Next{Done: &Outcome{Generation: winner, Err: err}}
}
