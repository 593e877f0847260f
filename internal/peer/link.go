package peer

import (
	"math/rand/v2"
	"sync"
	"time"

	"github.com/quic-go/quic-go"

	"github.com/cranberrypier/cranberrypier/internal/result"
)

// link manages the connection to one address.
type link struct {
	// dialToken is full while a call dials, so that concurrent calls share one
	// handshake.
	dialToken chan struct{}

	mu       sync.Mutex
	conn     *quic.Conn
	lastUse  time.Time
	inUse    int
	failures int
	retryAt  time.Time
	// sentBytes and receivedBytes count the bytes of earlier connections.
	sentBytes, receivedBytes uint64
}

func (c *Client) link(addr string) (*link, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		return nil, result.New(result.PeerUnreachable, "the peer client is closed").WithRun(result.NotRun)
	}
	l, ok := c.links[addr]
	if !ok {
		l = &link{dialToken: make(chan struct{}, 1)}
		c.links[addr] = l
	}
	return l, nil
}

// current returns the open connection, nil if the caller has to dial, or an error
// during the backoff after a failed dial.
func (l *link) current(addr string) (*quic.Conn, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.conn != nil && l.conn.Context().Err() == nil {
		return l.conn, nil
	}
	l.clearConn()
	if wait := time.Until(l.retryAt); wait > 0 {
		e := result.New(result.PeerUnreachable, "the last connection attempt to %s failed; next try in %v", addr, wait.Round(time.Millisecond))
		return nil, e.WithRun(result.NotRun)
	}
	return nil, nil
}

func (l *link) setConn(conn *quic.Conn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.conn, l.failures, l.lastUse = conn, 0, time.Now()
}

func (l *link) dialFailed() {
	l.mu.Lock()
	defer l.mu.Unlock()
	wait := min(minBackoff<<min(l.failures, 10), maxBackoff)
	wait = wait/2 + rand.N(wait/2)
	l.failures++
	l.retryAt = time.Now().Add(wait)
	l.lastUse = time.Now()
}

func (l *link) acquire() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.inUse++
}

func (l *link) release() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.inUse--
	l.lastUse = time.Now()
}

func (l *link) isIdle(now time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.inUse == 0 && now.Sub(l.lastUse) > idleTimeout
}

// drop closes the link's connection if it is conn. A nil conn matches any
// connection.
func (l *link) drop(conn *quic.Conn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.conn == nil || (conn != nil && l.conn != conn) {
		return
	}
	_ = l.conn.CloseWithError(closeDone, "dropped")
	l.clearConn()
}

// clearConn removes the connection and adds its bytes to the totals. The caller
// must hold mu.
func (l *link) clearConn() {
	if l.conn == nil {
		return
	}
	stats := l.conn.ConnectionStats()
	l.sentBytes += stats.BytesSent
	l.receivedBytes += stats.BytesReceived
	l.conn = nil
}

func (l *link) traffic() (sent, received uint64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	sent, received = l.sentBytes, l.receivedBytes
	if l.conn != nil {
		stats := l.conn.ConnectionStats()
		sent += stats.BytesSent
		received += stats.BytesReceived
	}
	return sent, received
}
