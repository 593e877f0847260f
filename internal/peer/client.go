package peer

import (
	"context"
	"errors"
	"net"
	"strconv"
	"sync"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/gravitational/trace"
	"github.com/quic-go/quic-go"

	"github.com/cranberrypier/cranberrypier/internal/result"
)

// Client calls peers. It keeps one connection for each address and dials it
// again when it has died. After a failed dial, calls fail at once until the
// backoff has passed. No call is ever sent twice: a call fails rather than
// moving to another connection once its first byte may have left.
type Client struct {
	config    Config
	transport *quic.Transport

	mu    sync.Mutex
	links map[string]*link
	// sent and received are the bytes of links that were given up.
	sent, received uint64
	closed         bool
	stop           chan struct{}
	done           chan struct{}
}

var _ Caller = (*Client)(nil)

// NewClient binds an own UDP socket. It fails with KeyMaterial or
// AddressInUse.
func NewClient(c Config) (*Client, error) {
	if c.TLS == nil {
		return nil, trace.Wrap(result.New(result.KeyMaterial, "peer client has no key material"))
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
	go client.closeUnused()
	return client, nil
}

// Close ends all connections and calls in progress.
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
	for _, l := range c.all() {
		l.drop(nil)
	}
	err := c.transport.Close()
	_ = c.transport.Conn.Close()
	return trace.Wrap(err)
}

// Wire returns the bytes that this client's connections have sent and received,
// with QUIC's own and without those of UDP and IP.
func (c *Client) Traffic() (sent, received uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	sent, received = c.sent, c.received
	for _, l := range c.links {
		s, r := l.wire()
		sent += s
		received += r
	}
	return sent, received
}

// Call implements Caller. An error that the peer's handler returned arrives
// with the handler's code. PeerUnreachable has the run state NotRun when
// nothing was sent, and Unknown otherwise.
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
	calls.WithLabelValues(string(t), strconv.Itoa(int(code))).Inc()
	return trace.Wrap(err)
}

func (c *Client) call(ctx context.Context, addr string, t Type, in, out any) error {
	if c.config.Cut.blocksAddress(addr) {
		return c.hang(ctx, addr)
	}
	request := requestFrame{Type: t, Fleet: c.config.Self.Fleet, Sender: c.config.sender(), Stamp: c.config.now()}
	if in != nil {
		body, err := Encode(in)
		if err != nil {
			return trace.Wrap(err)
		}
		request.Body = cbor.RawMessage(body)
	}
	if until, ok := ctx.Deadline(); ok {
		request.TimeoutMS = max(1, time.Until(until).Milliseconds())
	}
	l, err := c.link(addr)
	if err != nil {
		return trace.Wrap(err)
	}
	conn, stream, err := c.open(ctx, l, addr)
	if err != nil {
		return trace.Wrap(err)
	}
	defer l.release()
	before := conn.ConnectionStats().PacketsReceived
	// A connection without a packet during a whole failed call is given up,
	// since its path may be dead although QUIC has not noticed yet.
	response, err := exchange(ctx, stream, &request)
	if err != nil {
		if conn.ConnectionStats().PacketsReceived == before {
			l.drop(conn)
		}
		return trace.Wrap(explain(ctx, addr, err))
	}
	return trace.Wrap(c.take(addr, response, out))
}

// take checks and decodes a response.
func (c *Client) take(addr string, r *responseFrame, out any) error {
	from := c.config.identity(r.Sender)
	c.config.Cut.learn(addr, from)
	if c.config.Cut.blocksPeer(from) {
		return result.New(result.PeerUnreachable, "peer %s is cut off", addr)
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

// exchange sends the request and reads the response. A ctx that ends cancels
// the stream in both directions, which ends the handler's context too.
func exchange(ctx context.Context, s *quic.Stream, r *requestFrame) (*responseFrame, error) {
	stop := context.AfterFunc(ctx, func() {
		s.CancelWrite(0)
		s.CancelRead(0)
	})
	defer stop()
	defer s.CancelRead(0)
	if err := writeFrame(s, r); err != nil {
		s.CancelWrite(0)
		return nil, trace.Wrap(err)
	}
	if err := s.Close(); err != nil {
		return nil, trace.Wrap(err)
	}
	var response responseFrame
	if err := readFrame(s, &response); err != nil {
		return nil, trace.Wrap(err)
	}
	return &response, nil
}

// explain turns a transport fault after the first byte into a coded error.
func explain(ctx context.Context, addr string, err error) error {
	if result.Is(err, result.PeerFrame) {
		return err
	}
	if ctx.Err() != nil {
		err = ctx.Err()
	}
	return result.New(result.PeerUnreachable, "call to %s: %v", addr, err).WithRun(result.Unknown)
}

// hang behaves like a call into a network that drops every packet.
func (c *Client) hang(ctx context.Context, addr string) error {
	timer := time.NewTimer(c.config.dialTimeout())
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	case <-c.stop:
	}
	return result.New(result.PeerUnreachable, "peer %s is cut off", addr).WithRun(result.NotRun)
}

// open returns a stream on the kept connection, dialling when there is none
// or when it turns out dead before anything was sent on it.
func (c *Client) open(ctx context.Context, l *link, addr string) (*quic.Conn, *quic.Stream, error) {
	var last error
	for range 2 {
		conn, err := c.connect(ctx, l, addr)
		if err != nil {
			return nil, nil, trace.Wrap(err)
		}
		stream, err := conn.OpenStreamSync(ctx)
		if err == nil {
			l.hold()
			return conn, stream, nil
		}
		last = err
		if ctx.Err() != nil {
			break
		}
		l.drop(conn)
	}
	return nil, nil, result.New(result.PeerUnreachable, "no stream to %s: %v", addr, last).WithRun(result.NotRun)
}

func (c *Client) connect(ctx context.Context, l *link, addr string) (*quic.Conn, error) {
	if conn, err := l.ready(addr); conn != nil || err != nil {
		return conn, trace.Wrap(err)
	}
	select {
	case l.dialling <- struct{}{}:
		defer func() { <-l.dialling }()
	case <-ctx.Done():
		return nil, result.New(result.PeerUnreachable, "dial %s: %v", addr, ctx.Err()).WithRun(result.NotRun)
	}
	if conn, err := l.ready(addr); conn != nil || err != nil {
		return conn, trace.Wrap(err)
	}
	conn, err := c.dial(ctx, addr)
	if err != nil {
		l.failed()
		return nil, trace.Wrap(dialError(addr, err))
	}
	l.connected(conn)
	return conn, nil
}

func (c *Client) dial(ctx context.Context, addr string) (*quic.Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, c.config.dialTimeout())
	defer cancel()
	target, err := net.ResolveUDPAddr("udp", addr)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	secured := c.config.TLS.Clone()
	secured.NextProtos = protocols
	if secured.ServerName == "" {
		secured.ServerName = target.IP.String()
	}
	dials.Inc()
	conn, err := c.transport.Dial(ctx, target, secured, c.config.quic())
	return conn, trace.Wrap(err)
}

// alertNoProtocol is the TLS alert of a peer without a common ALPN protocol.
const alertNoProtocol quic.TransportErrorCode = 0x100 + 120

// dialError tells a peer that refuses us from one that does not answer.
func dialError(addr string, err error) error {
	var t *quic.TransportError
	if !errors.As(err, &t) || !t.ErrorCode.IsCryptoError() {
		return result.New(result.PeerUnreachable, "dial %s: %v", addr, err).WithRun(result.NotRun)
	}
	if t.ErrorCode == alertNoProtocol {
		return result.New(result.PeerVersion, "%s speaks no common protocol version", addr)
	}
	return result.New(result.PeerRefused, "handshake with %s: %v", addr, err)
}

func (c *Client) all() []*link {
	c.mu.Lock()
	defer c.mu.Unlock()
	out := make([]*link, 0, len(c.links))
	for _, l := range c.links {
		out = append(out, l)
	}
	return out
}

// closeUnused drops connections without calls, so that a VM holds
// connections only to the peers that it talks to.
func (c *Client) closeUnused() {
	defer close(c.done)
	ticker := time.NewTicker(unused / 2)
	defer ticker.Stop()
	for {
		select {
		case <-c.stop:
			return
		case now := <-ticker.C:
			c.sweep(now)
		}
	}
}

func (c *Client) sweep(now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for addr, l := range c.links {
		if l.idleSince(now) {
			l.drop(nil)
			sent, received := l.wire()
			c.sent += sent
			c.received += received
			delete(c.links, addr)
		}
	}
}
