package upstream

import (
	"bufio"
	"bytes"
	"errors"
	"io"
	"testing"
	"time"

	"github.com/cranberrypier/cranberrypier/internal/placement"
)

// FuzzEvents feeds arbitrary bytes to the stream reader, in chunks of any size.
// Event ids must have no gap after the resume point, a stream may only end
// without a failure if it has the terminator, and a failure must be final and
// count as sent.
func FuzzEvents(f *testing.F) {
	f.Add([]byte("id: 1\ndata: {}\n\ndata: [DONE]\n\n"), uint64(0), byte(3))
	f.Add([]byte("id: 3\r\ndata: a\r\ndata: b\r\n\r\ndata: [DONE]\r\n\r\n"), uint64(2), byte(1))
	f.Add([]byte("id: 1\ndata: x\n\nid: 3\ndata: y\n\n"), uint64(0), byte(200))
	f.Add([]byte(": comment\nevent: e\nretry: 5\ndata\n\n"), uint64(0), byte(7))
	f.Add([]byte("id: 18446744073709551616\ndata: x\n\n"), uint64(9), byte(2))
	f.Fuzz(func(t *testing.T, raw []byte, after uint64, piece byte) {
		after %= 1 << 32
		ctx := t.Context()
		s := &Stream{
			client: New(Config{}, nil), ctx: ctx, cancel: func(error) {}, timer: time.NewTimer(time.Hour), tracker: &connTracker{},
			body: io.NopCloser(bytes.NewReader(nil)), buf: bufio.NewReaderSize(&chunkReader{raw, int(piece) + 1}, maxLineSize), lastID: after,
		}
		want := after
		for {
			e, err := s.Next()
			if err == nil {
				want++
				if e.ID != want || len(e.Data) > maxEventSize {
					t.Fatalf("got event %d with %d bytes, want event %d", e.ID, len(e.Data), want)
				}
				continue
			}
			if errors.Is(err, io.EOF) && !bytes.Contains(raw, []byte("[DONE]")) {
				t.Fatal("io.EOF for a stream without terminator")
			}
			if fail := FailureOf(err); !errors.Is(err, io.EOF) && (!fail.Sent || fail.End != placement.EndReset) {
				t.Fatalf("a truncated stream is classified as %s, sent %t", fail.End, fail.Sent)
			}
			if _, again := s.Next(); !errors.Is(again, err) {
				t.Fatalf("the error after %v is %v", err, again)
			}
			s.Close()
			return
		}
	})
}

// chunkReader returns its data in chunks of at most size bytes.
type chunkReader struct {
	data []byte
	size int
}

func (p *chunkReader) Read(b []byte) (int, error) {
	if len(p.data) == 0 {
		return 0, io.EOF
	}
	n := copy(b, p.data[:min(p.size, len(p.data))])
	p.data = p.data[n:]
	return n, nil
}
