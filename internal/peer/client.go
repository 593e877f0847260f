package peer

import (
	"context"
	"errors"
	"io"
	"net"
	"strconv"
	"sync"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/gravitational/trace"
	"github.com/quic-go/quic-go"

	"github.com/cranberrypier/cranberrypier/internal/result"
)

// Client calls peers. It keeps one connection for each address and dials again
// when the connection has failed. After a failed dial, calls fail at once until
// the backoff has passed. No call is sent twice: once its first byte may have
// been sent, a call fails instead of using another connection.
type Client struct {
	config    Config
	transport *quic.Transport

	mu    sync.Mutex
	links map[string]*link
	// sentBytes and receivedBytes count the bytes of removed links.
	sentBytes, receivedBytes uint64
	closed                   bool
	stop                     chan struct{}
	done                     chan struct{}
}

var _ Caller = (*Client)(nil)

// NewClient returns a client with its own UDP socket. It fails with
// KeyFilesInvalid or AddressInUse.
func NewClient(c Config) (*Client, error) {
	if c.TLS == nil {
		return nil, trace.Wrap(result.New(result.KeyFilesInvalid, "peer client has no key material"))
	}
	socket, err := net.ListenUDP("udp", nil)
	if err != nil {
		return nil, trace.Wrap(result.New(result.AddressInUse, "peer client socket: %v", err))
	}
	client := &Client{
		config:    c,
		transport: &quic.Transport{Conn: socket},
		links:     map[string]*link{},
		stop:      make(chan struct{}),
		done:      make(chan struct{}),
	}
	go client.closeIdleLoop()
	return client, nil
}

// Close closes all connections; calls in progress fail.
func (c *Client) Close() error {
	c.mu.Lock()
	if c.closed {
		c.mu.Unlock()
		return nil
	}
	c.closed = true
	c.mu.Unlock()
	close(c.stop)
	<-c.done
	for _, l := range c.allLinks() {
		l.drop(nil)
	}
	err := c.transport.Close()
	_ = c.transport.Conn.Close()
	return trace.Wrap(err)
}

// Traffic returns the bytes that this client's connections have sent and received.
// They include the overhead of QUIC, but not the headers of UDP and IP.
func (c *Client) Traffic() (sent, received uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	sent, received = c.sentBytes, c.receivedBytes
	for _, l := range c.links {
		s, r := l.traffic()
		sent += s
		received += r
	}
	return sent, received
}

// Call implements Caller. An error of the peer's handler is returned with the
// handler's code. PeerUnreachable has the run state NotRun when nothing was sent,
// and Unknown otherwise.
func (c *Client) Call(ctx context.Context, addr string, t Type, in, out any) error {
	if _, ok := ctx.Deadline(); !ok {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, CallTimeout)
		defer cancel()
	}
	err := c.call(ctx, addr, t, in, out)
	code := result.Code(0)
	if err != nil {
		code = result.From(err).Code
	}
	callsTotal.WithLabelValues(string(t), strconv.Itoa(int(code))).Inc()
	return trace.Wrap(err)
}

func (c *Client) call(ctx context.Context, addr string, t Type, in, out any) error {
	if c.config.Partition.blocksAddress(addr) {
		return c.blockedCall(ctx, addr)
	}
	request := requestFrame{Type: t, Fleet: c.config.Self.Fleet, Sender: c.config.sender(), Stamp: c.config.now()}
	if in != nil {
		body, err := Encode(in)
		if err != nil {
			return trace.Wrap(err)
		}
		request.Body = cbor.RawMessage(body)
	}
	if deadline, ok := ctx.Deadline(); ok {
		request.TimeoutMS = max(1, time.Until(deadline).Milliseconds())
	}
	l, err := c.link(addr)
	if err != nil {
		return trace.Wrap(err)
	}
	conn, stream, err := c.openStream(ctx, l, addr)
	if err != nil {
		return trace.Wrap(err)
	}
	defer l.release()
	packetsBefore := conn.ConnectionStats().PacketsReceived
	response, err := roundTrip(ctx, stream, &request)
	if err != nil {
		// If the connection received no packet during the failed call, it is
		// closed: its path may have failed although QUIC has not detected that
		// yet.
		if conn.ConnectionStats().PacketsReceived == packetsBefore {
			l.drop(conn)
		}
		return trace.Wrap(transportError(ctx, addr, err))
	}
	return trace.Wrap(c.decodeResponse(addr, response, out))
}

// decodeResponse checks and decodes a response.
func (c *Client) decodeResponse(addr string, r *responseFrame, out any) error {
	from := c.config.identity(r.Sender)
	c.config.Partition.recordIdentity(addr, from)
	if c.config.Partition.blocksPeer(from) {
		return result.New(result.PeerUnreachable, "traffic with peer %s is blocked by a simulated partition", addr)
	}
	c.config.observe(r.Stamp)
	if r.Code != 0 {
		run := r.Run
		if run == "" {
			run = result.Unknown
		}
		e := result.New(r.Code, "%s", r.Detail).WithRun(run)
		return e.WithRetryAfter(time.Duration(r.RetryAfterMS) * time.Millisecond)
	}
	if out == nil {
		return nil
	}
	return trace.Wrap(Body(r.Body).Decode(out))
}

// callStream is the part of a QUIC stream that a call uses.
type callStream interface {
	io.ReadWriteCloser
	CancelRead(quic.StreamErrorCode)
	CancelWrite(quic.StreamErrorCode)
}

// roundTrip sends the request and reads the response. When ctx is done, it
// cancels the stream in both directions, which also cancels the handler's
// context.
func roundTrip(ctx context.Context, s callStream, r *requestFrame) (*responseFrame, error) {
	stop := context.AfterFunc(ctx, func() {
		s.CancelWrite(0)
		s.CancelRead(0)
	})
	defer stop()
	defer s.CancelRead(0)
	sendErr := writeFrame(s, r)
	if sendErr != nil && !canceledByServer(sendErr) {
		s.CancelWrite(0)
		return nil, trace.Wrap(sendErr)
	}
	if sendErr == nil {
		sendErr = s.Close()
	}
	var response responseFrame
	if err := readFrame(s, &response); err != nil {
		return nil, trace.Wrap(errors.Join(err, sendErr))
	}
	return &response, nil
}

// canceledByServer reports whether an error of sending only means that the server
// reads no further. It may have responded already, and its response counts.
func canceledByServer(err error) bool {
	var canceled *quic.StreamError
	return errors.As(err, &canceled) && canceled.Remote
}

// transportError returns the coded error for a transport failure after the first
// byte may have been sent.
func transportError(ctx context.Context, addr string, err error) error {
	if result.Is(err, result.PeerMessageInvalid) {
		return err
	}
	if ctx.Err() != nil {
		err = ctx.Err()
	}
	return result.New(result.PeerUnreachable, "call to %s: %v", addr, err).WithRun(result.Unknown)
}

// blockedCall behaves like a call on a network that drops all packets.
func (c *Client) blockedCall(ctx context.Context, addr string) error {
	timer := time.NewTimer(c.config.dialTimeout())
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	case <-c.stop:
	}
	return result.New(result.PeerUnreachable, "traffic with peer %s is blocked by a simulated partition", addr).WithRun(result.NotRun)
}

// openStream returns a stream on the connection to addr. It dials when there is
// no connection, or when the connection fails before the stream is opened.
func (c *Client) openStream(ctx context.Context, l *link, addr string) (*quic.Conn, *quic.Stream, error) {
	var last error
	for range 2 {
		conn, err := c.connect(ctx, l, addr)
		if err != nil {
			return nil, nil, trace.Wrap(err)
		}
		stream, err := conn.OpenStreamSync(ctx)
		if err == nil {
			l.acquire()
			return conn, stream, nil
		}
		last = err
		if ctx.Err() != nil {
			break
		}
		l.drop(conn)
	}
	return nil, nil, result.New(result.PeerUnreachable, "open stream to %s: %v", addr, last).WithRun(result.NotRun)
}

func (c *Client) connect(ctx context.Context, l *link, addr string) (*quic.Conn, error) {
	if conn, err := l.current(addr); conn != nil || err != nil {
		return conn, trace.Wrap(err)
	}
	select {
	case l.dialToken <- struct{}{}:
		defer func() { <-l.dialToken }()
	case <-ctx.Done():
		return nil, result.New(result.PeerUnreachable, "dial %s: %v", addr, ctx.Err()).WithRun(result.NotRun)
	}
	if conn, err := l.current(addr); conn != nil || err != nil {
		return conn, trace.Wrap(err)
	}
	conn, err := c.dial(ctx, addr)
	if err != nil {
		l.dialFailed()
		return nil, trace.Wrap(dialError(addr, err))
	}
	l.setConn(conn)
	return conn, nil
}

func (c *Client) dial(ctx context.Context, addr string) (*quic.Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, c.config.dialTimeout())
	defer cancel()
	target, err := net.ResolveUDPAddr("udp", addr)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	tlsConfig := c.config.TLS.Clone()
	tlsConfig.NextProtos = protocols
	if tlsConfig.ServerName == "" {
		tlsConfig.ServerName = target.IP.String()
	}
	dialsTotal.Inc()
	conn, err := c.transport.Dial(ctx, target, tlsConfig, c.config.quic())
	return conn, trace.Wrap(err)
}

// alertNoProtocol is the TLS alert that a peer sends when there is no common
// ALPN protocol.
const alertNoProtocol quic.TransportErrorCode = 0x100 + 120

// dialError returns the coded error for a failed dial. It distinguishes a peer
// that rejects the handshake from one that is unreachable.
func dialError(addr string, err error) error {
	var t *quic.TransportError
	if !errors.As(err, &t) || !t.ErrorCode.IsCryptoError() {
		return result.New(result.PeerUnreachable, "dial %s: %v", addr, err).WithRun(result.NotRun)
	}
	if t.ErrorCode == alertNoProtocol {
		return result.New(result.PeerVersion, "%s supports none of this process's protocol versions", addr)
	}
	return result.New(result.PeerRefused, "handshake with %s: %v", addr, err)
}

func (c *Client) allLinks() []*link {
	c.mu.Lock()
	defer c.mu.Unlock()
	out := make([]*link, 0, len(c.links))
	for _, l := range c.links {
		out = append(out, l)
	}
	return out
}

// closeIdleLoop periodically closes idle connections, so that a VM has
// connections only to the peers that it calls.
func (c *Client) closeIdleLoop() {
	defer close(c.done)
	ticker := time.NewTicker(idleTimeout / 2)
	defer ticker.Stop()
	for {
		select {
		case <-c.stop:
			return
		case now := <-ticker.C:
			c.closeIdle(now)
		}
	}
}

func (c *Client) closeIdle(now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for addr, l := range c.links {
		if l.isIdle(now) {
			l.drop(nil)
			sent, received := l.traffic()
			c.sentBytes += sent
			c.receivedBytes += received
			delete(c.links, addr)
		}
	}
}
