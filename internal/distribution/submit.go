package distribution

import (
	"bytes"
	"compress/gzip"
	"context"
	"errors"
	"io"
	"strconv"
	"time"

	"github.com/gravitational/trace"

	"github.com/cranberrypier/cranberrypier/internal/document"
	"github.com/cranberrypier/cranberrypier/internal/pause"
	"github.com/cranberrypier/cranberrypier/internal/platform"
	"github.com/cranberrypier/cranberrypier/internal/result"
	"github.com/cranberrypier/cranberrypier/internal/timeline"
)

// Submit decides an operator's document. It returns once the document is
// accepted or rejected, at most after ten seconds.
func (r *Runner) Submit(ctx context.Context, text []byte, base uint64) Outcome {
	until := time.Now().Add(submitTime)
	ctx, cancel := context.WithDeadline(ctx, until)
	defer cancel()
	s, err := NewSubmission(text, base, r.Current().Generation, *r.view.Load(), r.fleet, until)
	if err != nil {
		return Outcome{Err: err}
	}
	next := s.Start()
	for next.Done == nil {
		pause.For(ctx, next.Wait)
		next = r.submitStep(ctx, s, next, until)
	}
	out := *next.Done
	if out.Err == nil {
		r.recorder.Record("", "document.accepted", timeline.F("generation", strconv.FormatUint(out.Generation, 10)))
		r.send(ctx, SubmissionAccepted{Text: out.Text})
	}
	return out
}

// submitStep makes one call. A context that has ended leaves no time for
// another.
func (r *Runner) submitStep(ctx context.Context, s *Submission, next Next, until time.Time) Next {
	now := func() time.Time {
		if ctx.Err() != nil {
			return until
		}
		return time.Now()
	}
	if next.Read {
		o, err := r.store.Get(ctx, platform.KindDocument, ObjectName)
		return s.HandleRead(now(), o, err)
	}
	var err error
	if next.Base == 0 {
		_, err = r.store.Create(ctx, platform.KindDocument, ObjectName, next.Write)
	} else {
		_, err = r.store.Update(ctx, platform.KindDocument, ObjectName, next.Base, next.Write)
	}
	return s.HandleWrite(now(), err)
}

func pack(text []byte) ([]byte, error) {
	var b bytes.Buffer
	w := gzip.NewWriter(&b)
	_, err := w.Write(text)
	err = errors.Join(err, w.Close())
	return b.Bytes(), err
}

// unpack refuses what unpacks to more than the largest document.
func unpack(packed []byte) ([]byte, error) {
	z, err := gzip.NewReader(bytes.NewReader(packed))
	if err != nil {
		return nil, trace.Wrap(result.New(result.PeerFrame, "packed document: %v", err))
	}
	text, err := io.ReadAll(io.LimitReader(z, document.MaxBytes+1))
	if err != nil || len(text) > document.MaxBytes {
		return nil, trace.Wrap(result.New(result.PeerFrame, "packed document of %d bytes: %v", len(text), err))
	}
	return text, nil
}
