package peer

import (
	"bytes"
	"context"
	"errors"
	"testing"

	"github.com/quic-go/quic-go"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// answeredStream is a stream whose response has arrived before the client has
// finished sending.
type answeredStream struct {
	bytes.Buffer
	writeErr, closeErr error
}

func (s *answeredStream) Write(b []byte) (int, error)      { return len(b), s.writeErr }
func (s *answeredStream) Close() error                     { return s.closeErr }
func (s *answeredStream) CancelRead(quic.StreamErrorCode)  {}
func (s *answeredStream) CancelWrite(quic.StreamErrorCode) {}

// A server that has responded reads no further. Its response counts although the
// client can no longer finish sending.
func TestResponseCountsAfterServerStoppedReading(t *testing.T) {
	for name, c := range map[string]struct {
		writeErr, closeErr error
		received           bool
	}{
		"sent":                                   {nil, nil, true},
		"stopped before the request was written": {&quic.StreamError{Remote: true}, nil, true},
		"stopped before the stream was closed":   {nil, errors.New("close called for canceled stream 0"), true},
		"the connection failed":                  {errors.New("no recent network activity"), nil, false},
	} {
		t.Run(name, func(t *testing.T) {
			s := &answeredStream{writeErr: c.writeErr, closeErr: c.closeErr}
			var out bytes.Buffer
			require.NoError(t, writeFrame(&out, &responseFrame{Code: 7}))
			s.Buffer = out
			got, err := roundTrip(context.Background(), s, &requestFrame{})
			if !c.received {
				assert.Error(t, err)
				return
			}
			require.NoError(t, err)
			assert.EqualValues(t, 7, got.Code)
		})
	}
}

func TestFailedCloseIsReportedWithoutAResponse(t *testing.T) {
	closeErr := errors.New("close called for canceled stream 0")
	_, err := roundTrip(context.Background(), &answeredStream{closeErr: closeErr}, &requestFrame{})
	assert.ErrorIs(t, err, closeErr)
}
