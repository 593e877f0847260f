package peer

import (
	"encoding/binary"
	"io"

	"github.com/fxamacker/cbor/v2"
	"github.com/gravitational/trace"

	"github.com/cranberrypier/cranberrypier/internal/result"
	"github.com/cranberrypier/cranberrypier/internal/timeline"
)

// MaxFrame is the largest frame, in bytes, without its length prefix.
const MaxFrameSize = 1 << 20

// Bounds of a decoded frame, beside its size.
const (
	maxNesting  = 16
	maxElements = 1 << 17
	prefixBytes = 4
	readChunk   = 64 << 10
)

// requestFrame is the first frame on a stream.
type requestFrame struct {
	Type   Type            `cbor:"1,keyasint"`
	Fleet  string          `cbor:"2,keyasint"`
	Sender sender          `cbor:"3,keyasint"`
	Body   cbor.RawMessage `cbor:"4,keyasint,omitempty"`
	Stamp  timeline.Stamp  `cbor:"5,keyasint"`
	// TimeoutMS is how long the sender waits, in milliseconds.
	TimeoutMS int64 `cbor:"6,keyasint,omitempty"`
}

// responseFrame answers a request on the same stream.
type responseFrame struct {
	// Code is zero for success.
	Code   result.Code     `cbor:"1,keyasint"`
	Detail string          `cbor:"2,keyasint,omitempty"`
	Body   cbor.RawMessage `cbor:"3,keyasint,omitempty"`
	Stamp  timeline.Stamp  `cbor:"4,keyasint"`
	Run    result.RunState `cbor:"5,keyasint,omitempty"`
	// RetryAfterMS is the advised wait before a repeat, in milliseconds.
	RetryAfterMS int64  `cbor:"6,keyasint,omitempty"`
	Sender       sender `cbor:"7,keyasint"`
}

// sender is an Identity without the fleet, as it travels.
type sender struct {
	VM          string `cbor:"1,keyasint"`
	Role        string `cbor:"2,keyasint"`
	Incarnation uint64 `cbor:"3,keyasint"`
	Zone        string `cbor:"4,keyasint"`
}

var (
	encoding = must(cbor.EncOptions{}.EncMode())
	decoding = must(cbor.DecOptions{
		DupMapKey:        cbor.DupMapKeyEnforcedAPF,
		MaxNestedLevels:  maxNesting,
		MaxArrayElements: maxElements,
		MaxMapPairs:      maxElements,
		IndefLength:      cbor.IndefLengthForbidden,
	}.DecMode())
)

func must[T any](v T, err error) T {
	if err != nil {
		panic(err)
	}
	return v
}

// Encode returns v as CBOR, as message bodies are encoded.
func Encode(v any) (Body, error) {
	b, err := encoding.Marshal(v)
	if err != nil {
		return nil, trace.Wrap(result.New(result.Internal, "encode message: %v", err))
	}
	return b, nil
}

// Decode reads the body into out. It fails with PeerFrame when the body is
// not one well-formed value of out's type within the bounds.
func (b Body) Decode(out any) error {
	if err := decoding.Unmarshal(b, out); err != nil {
		return trace.Wrap(result.New(result.PeerFrame, "decode message: %v", err))
	}
	return nil
}

// writeFrame writes v with its length prefix in one write.
func writeFrame(w io.Writer, v any) error {
	b, err := Encode(v)
	if err != nil {
		return trace.Wrap(err)
	}
	if len(b) > MaxFrameSize {
		return trace.Wrap(result.New(result.PeerFrame, "frame of %d bytes is over %d", len(b), MaxFrameSize))
	}
	out := make([]byte, prefixBytes, prefixBytes+len(b))
	binary.BigEndian.PutUint32(out, uint32(len(b)))
	if _, err := w.Write(append(out, b...)); err != nil {
		return trace.Wrap(err)
	}
	transferred.WithLabelValues("sent").Add(float64(prefixBytes + len(b)))
	return nil
}

// readFrame reads one frame into v. Memory grows with the bytes that have
// arrived, not with the announced length, so that a prefix alone costs the
// reader nothing.
func readFrame(r io.Reader, v any) error {
	var prefix [prefixBytes]byte
	if _, err := io.ReadFull(r, prefix[:]); err != nil {
		return trace.Wrap(err)
	}
	size := int(binary.BigEndian.Uint32(prefix[:]))
	if size == 0 || size > MaxFrameSize {
		return trace.Wrap(result.New(result.PeerFrame, "frame of %d bytes, allowed are 1 to %d", size, MaxFrameSize))
	}
	b := make([]byte, 0, min(size, readChunk))
	for len(b) < size {
		n := min(size-len(b), readChunk)
		at := len(b)
		b = append(b, make([]byte, n)...)
		if _, err := io.ReadFull(r, b[at:]); err != nil {
			return trace.Wrap(err)
		}
	}
	transferred.WithLabelValues("received").Add(float64(prefixBytes + size))
	return trace.Wrap(Body(b).Decode(v))
}
