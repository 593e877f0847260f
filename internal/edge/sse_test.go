package edge

import (
	"errors"
	"io"
	"strings"
	"testing"
	"testing/iotest"

	"github.com/stretchr/testify/assert"
	"pgregory.net/rapid"
)

func readAll(src io.Reader) (complete, rest, last string, err error) {
	r := newEventReader(src, func(int) bool { return true })
	for {
		events, e := r.next()
		if e != nil {
			return complete, string(events.bytes), last, e
		}
		complete += string(events.bytes)
		if events.lastID != "" {
			last = events.lastID
		}
	}
}

func TestEventReader(t *testing.T) {
	for _, tt := range []struct{ name, in, complete, rest, last string }{
		{"two events", "id: 1\ndata: a\n\nid: 2\ndata: b\n\n", "id: 1\ndata: a\n\nid: 2\ndata: b\n\n", "", "2"},
		{"truncated within an event", "id: 1\ndata: a\n\nid: 2\nda", "id: 1\ndata: a\n\n", "id: 2\nda", "1"},
		{"carriage returns", "id: 7\r\ndata: a\r\n\r\n", "id: 7\r\ndata: a\r\n\r\n", "", "7"},
		{"a first line before the id", "x-versions: 3\nid:9\ndata: a\n\n", "x-versions: 3\nid:9\ndata: a\n\n", "", "9"},
		{"empty stream", "", "", "", ""},
		{"no id", "data: a\n\n", "data: a\n\n", "", ""},
	} {
		t.Run(tt.name, func(t *testing.T) {
			for _, src := range []io.Reader{strings.NewReader(tt.in), iotest.OneByteReader(strings.NewReader(tt.in))} {
				complete, rest, last, err := readAll(src)
				assert.Equal(t, tt.complete, complete)
				assert.Equal(t, tt.rest, rest)
				assert.Equal(t, tt.last, last)
				assert.ErrorIs(t, err, io.EOF)
			}
		})
	}
}

func TestEndsInsideEvent(t *testing.T) {
	for rest, want := range map[string]bool{
		"": false, "\n": false, "\r\n": false, ": comment\n": false, ": comment\n\r\n": false, "data: a\n\r\n": false,
		"i": true, "id: 1": true, "id: 1\n": true, "id: 1\ndata: a": true, "id: 1\ndata: a\n": true, "data: a\r\n": true, ": comm": true, "data: a\n\r\nid: 2\n": true,
	} {
		assert.Equal(t, want, endsInsideEvent([]byte(rest)), "%q", rest)
	}
}

func TestEventReaderBounds(t *testing.T) {
	_, _, _, err := readAll(strings.NewReader(strings.Repeat("x", maxEventBytes+readSize+1)))
	assert.ErrorIs(t, err, errEventTooLong)
	_, _, _, err = readAll(strings.NewReader(strings.Repeat(": comment\n\n", maxEventBytes)))
	assert.ErrorIs(t, err, errNoProgress)
	_, _, _, err = readAll(strings.NewReader(strings.Repeat(": comment\n\ndata: a\n\n", maxEventBytes)))
	assert.ErrorIs(t, err, io.EOF, "comments between events are harmless")
	_, _, _, err = readAll(iotest.ErrReader(errors.New("reset")))
	assert.EqualError(t, err, "reset")
}

// The reader must return all bytes in order, however the reads split them.
func TestEventReaderKeepsAllBytes(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		text := strings.Join(rapid.SliceOf(rapid.SampledFrom([]string{"id: 1", "data: x", "\n", "\r\n", "\n\n", ":"})).Draw(t, "text"), "")
		var src io.Reader = strings.NewReader(text)
		if rapid.Bool().Draw(t, "small reads") {
			src = iotest.HalfReader(src)
		}
		complete, rest, _, _ := readAll(src)
		if complete+rest != text {
			t.Fatalf("%q became %q and %q", text, complete, rest)
		}
	})
}

// Guards against events without end on many streams that together take more memory than
// the VM has for responses.
func TestEventsShareTheRoomForResponses(t *testing.T) {
	const limit = 100 << 10
	used := 0
	grow := func(by int) bool {
		if by > 0 && used+by > limit {
			return false
		}
		used += by
		return true
	}
	endless := func() *eventReader {
		return newEventReader(strings.NewReader("data: "+strings.Repeat("x", 90<<10)), grow)
	}
	first, second := endless(), endless()
	_, err := first.next()
	assert.ErrorIs(t, err, io.EOF)
	assert.GreaterOrEqual(t, used, 90<<10)
	_, err = second.next()
	assert.ErrorIs(t, err, errNoEventRoom)
	assert.LessOrEqual(t, cap(second.buf), freeEventBytes+eventStep)
	second.release()
	first.release()
	assert.Zero(t, used)
	whole := newEventReader(strings.NewReader("data: "+strings.Repeat("x", 90<<10)+"\n\n"), grow)
	events, err := whole.next()
	assert.NoError(t, err)
	assert.Equal(t, 1, events.count)
	assert.Zero(t, used, "the room of a complete event is free again")
}
