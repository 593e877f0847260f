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

	"github.com/cranberrypier/cranberrypier/internal/ctxwait"
	"github.com/cranberrypier/cranberrypier/internal/document"
	"github.com/cranberrypier/cranberrypier/internal/platform"
	"github.com/cranberrypier/cranberrypier/internal/result"
	"github.com/cranberrypier/cranberrypier/internal/timeline"
)

// Submit submits an operator's document. It returns once the document is
// accepted or rejected, after submitTimeout at the latest.
func (r *Runner) Submit(ctx context.Context, text []byte, base uint64) Outcome {
	deadline := time.Now().Add(submitTimeout)
	ctx, cancel := context.WithDeadline(ctx, deadline)
	defer cancel()
	s, err := NewSubmission(text, base, r.Current().Generation, *r.view.Load(), r.fleet, deadline)
	if err != nil {
		return Outcome{Err: err}
	}
	next := s.Start()
	for next.Done == nil {
		ctxwait.For(ctx, next.Wait)
		next = r.submitStep(ctx, s, next, deadline)
	}
	out := *next.Done
	if out.Err == nil {
		r.recorder.Record("", "document.accepted", timeline.F("generation", strconv.FormatUint(out.Generation, 10)))
		r.send(ctx, SubmissionAccepted{Text: out.Text})
	}
	return out
}

// submitStep makes one call. When ctx is done, it reports the deadline as the
// current time, so that the submission does not retry.
func (r *Runner) submitStep(ctx context.Context, s *Submission, next Next, deadline time.Time) Next {
	now := func() time.Time {
		if ctx.Err() != nil {
			return deadline
		}
		return time.Now()
	}
	if next.Read {
		o, err := r.store.Get(ctx, platform.KindDocument, ObjectName)
		return s.HandleRead(now(), o, err)
	}
	var err error
	if next.BaseVersion == 0 {
		_, err = r.store.Create(ctx, platform.KindDocument, ObjectName, next.Write)
	} else {
		_, err = r.store.Update(ctx, platform.KindDocument, ObjectName, next.BaseVersion, next.Write)
	}
	return s.HandleWrite(now(), err)
}

func compress(text []byte) ([]byte, error) {
	var b bytes.Buffer
	w := gzip.NewWriter(&b)
	_, err := w.Write(text)
	err = errors.Join(err, w.Close())
	return b.Bytes(), err
}

// decompress decompresses a gzipped document. It fails if the result is larger than
// document.MaxBytes.
func decompress(compressed []byte) ([]byte, error) {
	z, err := gzip.NewReader(bytes.NewReader(compressed))
	if err != nil {
		return nil, trace.Wrap(result.New(result.PeerMessageInvalid, "decompress document: %v", err))
	}
	text, err := io.ReadAll(io.LimitReader(z, document.MaxBytes+1))
	if err != nil || len(text) > document.MaxBytes {
		return nil, trace.Wrap(result.New(result.PeerMessageInvalid, "decompress document, %d bytes read: %v", len(text), err))
	}
	return text, nil
}
