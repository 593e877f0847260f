package edge

import (
	"context"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/testutil"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/cranberrypier/cranberrypier/internal/exchange"
	"github.com/cranberrypier/cranberrypier/internal/fleet"
)

// Guards against a patience that is shorter than that of callers.
func TestCallerPatience(t *testing.T) {
	assert.Equal(t, 4*time.Second, callerPatience(0, 0))
	assert.Equal(t, 14*time.Second, callerPatience(3*time.Second, 100*time.Millisecond))
	assert.Equal(t, 10*time.Second, callerPatience(300*time.Millisecond, time.Second))
}

// Guards against a caller that is given up although it takes something within each time of
// its patience, and one that is kept although it does not.
func TestTakeWatch(t *testing.T) {
	const patience = 4 * time.Second
	start, interval := time.Unix(1000, 0), takeCheckInterval(patience)
	var steady takeWatch
	for i := range 1000 {
		taken := uint64(i / 7) // more than nothing in each 3.5 s
		assert.False(t, steady.stalled(start.Add(time.Duration(i)*interval), taken, patience), i)
	}
	var silent takeWatch
	for i := range 9 {
		assert.Equal(t, i == 8, silent.stalled(start.Add(time.Duration(i)*interval), 5, patience), i)
	}
}

// connPair returns the two ends of a connection.
func connPair(t *testing.T, patience time.Duration) (*callerConn, *net.TCPConn, prometheus.Counter) {
	t.Helper()
	stalled := prometheus.NewCounter(prometheus.CounterOpts{Name: "stalled"})
	inner, err := listen(context.Background(), "127.0.0.1:0")
	require.NoError(t, err)
	l := callerListener{inner, stalled}
	defer func() { _ = l.Close() }()
	peer, err := net.Dial("tcp", l.Addr().String())
	require.NoError(t, err)
	conn, err := l.Accept()
	require.NoError(t, err)
	t.Cleanup(func() { _, _ = conn.Close(), peer.Close() })
	c := conn.(*callerConn)
	c.setPatience(patience)
	require.NoError(t, c.tcp.SetWriteBuffer(16<<10))
	require.NoError(t, peer.(*net.TCPConn).SetReadBuffer(16<<10))
	return c, peer.(*net.TCPConn), stalled
}

// Guards against a write that blocks for good, and a given-up caller to which the response
// looks complete.
func TestWriteToCallerThatTakesNothing(t *testing.T) {
	c, peer, stalled := connPair(t, 200*time.Millisecond)
	n, err := c.Write(make([]byte, 8<<20))
	assert.ErrorIs(t, err, errCallerStalled)
	assert.Less(t, n, 8<<20)
	assert.Equal(t, 1.0, testutil.ToFloat64(stalled))
	_, err = io.Copy(io.Discard, peer)
	assert.Error(t, err, "the connection is reset")
}

// Guards against a caller that is cut off although it reads all the time, and against a
// connection that is not usable after a pause of more than its patience.
func TestWriteToCallerThatReadsSlowly(t *testing.T) {
	c, peer, stalled := connPair(t, 400*time.Millisecond)
	const size = 2 << 20
	read := make(chan int64, 1)
	go func() {
		var total int64
		for {
			n, err := io.CopyN(io.Discard, peer, 64<<10)
			total += n
			if err != nil {
				break
			}
			time.Sleep(30 * time.Millisecond)
		}
		read <- total
	}()
	begin := time.Now()
	n, err := c.Write(make([]byte, size))
	require.NoError(t, err)
	assert.Equal(t, size, n)
	assert.Greater(t, time.Since(begin), 400*time.Millisecond)
	time.Sleep(600 * time.Millisecond)
	_, err = c.Write([]byte("more"))
	require.NoError(t, err)
	require.NoError(t, c.CloseWrite())
	assert.Equal(t, int64(size+4), <-read)
	assert.Zero(t, testutil.ToFloat64(stalled))
}

// Guards against an upstream that counts as failed because of its caller, and one that does
// not although it broke off a response that was read.
func TestOutcomeOfUnreadResponses(t *testing.T) {
	x := &requestState{ctx: context.Background(), req: &exchange.Request{}}
	end := func(unread time.Duration, err error) fleet.Outcome {
		a := &attempt{
			state: x, ctx: x.ctx, attemptStatus: exchange.Answered, unread: unread,
			head: &exchange.Head{Status: http.StatusOK, HasSignature: true, AttemptStatus: exchange.Answered},
		}
		a.recordTruncation(err)
		return a.outcome()
	}
	assert.Equal(t, fleet.OutcomeFailed, end(minCutUnread/2, io.ErrUnexpectedEOF))
	assert.Equal(t, fleet.OutcomeNeutral, end(minCutUnread, io.ErrUnexpectedEOF))
	assert.Equal(t, fleet.OutcomeNeutral, end(0, errCallerStalled))
}
