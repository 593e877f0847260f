package peer

import (
	"encoding/binary"
	"io"

	"github.com/fxamacker/cbor/v2"
	"github.com/gravitational/trace"

	"github.com/cranberrypier/cranberrypier/internal/result"
	"github.com/cranberrypier/cranberrypier/internal/timeline"
)

// MaxFrameSize is the maximum size of a frame in bytes, without its length prefix.
const MaxFrameSize = 1 << 20

// Limits for decoding a frame; prefixSize and readChunkSize are in bytes.
const (
	maxNestingDepth = 16
	maxElements     = 1 << 17
	prefixSize      = 4
	readChunkSize   = 64 << 10
)

// requestFrame is the first frame on a stream.
type requestFrame struct {
	Type   Type            `cbor:"1,keyasint"`
	Fleet  string          `cbor:"2,keyasint"`
	Sender sender          `cbor:"3,keyasint"`
	Body   cbor.RawMessage `cbor:"4,keyasint,omitempty"`
	Stamp  timeline.Stamp  `cbor:"5,keyasint"`
	// TimeoutMS is how long the caller waits for the response, in milliseconds.
	TimeoutMS int64 `cbor:"6,keyasint,omitempty"`
}

// responseFrame is the response to a request, sent on the same stream.
type responseFrame struct {
	// Code is zero for success.
	Code   result.Code     `cbor:"1,keyasint"`
	Detail string          `cbor:"2,keyasint,omitempty"`
	Body   cbor.RawMessage `cbor:"3,keyasint,omitempty"`
	Stamp  timeline.Stamp  `cbor:"4,keyasint"`
	Run    result.RunState `cbor:"5,keyasint,omitempty"`
	// RetryAfterMS is the recommended wait before a retry, in milliseconds.
	RetryAfterMS int64  `cbor:"6,keyasint,omitempty"`
	Sender       sender `cbor:"7,keyasint"`
}

// sender is the encoded form of an Identity, without the fleet.
type sender struct {
	VM          string `cbor:"1,keyasint"`
	Role        string `cbor:"2,keyasint"`
	Incarnation uint64 `cbor:"3,keyasint"`
	Zone        string `cbor:"4,keyasint"`
}

var (
	encMode = must(cbor.EncOptions{}.EncMode())
	decMode = must(cbor.DecOptions{
		DupMapKey:        cbor.DupMapKeyEnforcedAPF,
		MaxNestedLevels:  maxNestingDepth,
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

// Encode returns v as a message body, in CBOR.
func Encode(v any) (Body, error) {
	b, err := encMode.Marshal(v)
	if err != nil {
		return nil, trace.Wrap(result.New(result.Internal, "encode message: %v", err))
	}
	return b, nil
}

// Decode decodes the body into out. It fails with PeerMessageInvalid when the body
// is not one well-formed value of out's type within the limits.
func (b Body) Decode(out any) error {
	if err := decMode.Unmarshal(b, out); err != nil {
		return trace.Wrap(result.New(result.PeerMessageInvalid, "decode message: %v", err))
	}
	return nil
}

// writeFrame writes v with its length prefix in a single write.
func writeFrame(w io.Writer, v any) error {
	b, err := Encode(v)
	if err != nil {
		return trace.Wrap(err)
	}
	if len(b) > MaxFrameSize {
		return trace.Wrap(result.New(result.PeerMessageInvalid, "frame of %d bytes is larger than the limit of %d", len(b), MaxFrameSize))
	}
	out := make([]byte, prefixSize, prefixSize+len(b))
	binary.BigEndian.PutUint32(out, uint32(len(b)))
	if _, err := w.Write(append(out, b...)); err != nil {
		return trace.Wrap(err)
	}
	bytesTotal.WithLabelValues("sent").Add(float64(prefixSize + len(b)))
	return nil
}

// readFrame reads one frame into v. It allocates memory as the bytes arrive
// rather than for the announced length, so that a peer can't cause a large
// allocation by sending only a prefix.
func readFrame(r io.Reader, v any) error {
	var prefix [prefixSize]byte
	if _, err := io.ReadFull(r, prefix[:]); err != nil {
		return trace.Wrap(err)
	}
	size := int(binary.BigEndian.Uint32(prefix[:]))
	if size == 0 || size > MaxFrameSize {
		return trace.Wrap(result.New(result.PeerMessageInvalid, "frame length of %d bytes is not between 1 and %d", size, MaxFrameSize))
	}
	b := make([]byte, 0, min(size, readChunkSize))
	for len(b) < size {
		n := min(size-len(b), readChunkSize)
		offset := len(b)
		b = append(b, make([]byte, n)...)
		if _, err := io.ReadFull(r, b[offset:]); err != nil {
			return trace.Wrap(err)
		}
	}
	bytesTotal.WithLabelValues("received").Add(float64(prefixSize + size))
	return trace.Wrap(Body(b).Decode(v))
}
