package peer

import (
	"crypto/tls"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promauto"
	"github.com/quic-go/quic-go"

	"github.com/cranberrypier/cranberrypier/internal/timeline"
)

// protocols is the ALPN list, from newest to oldest.
var protocols = []string{"pier/1"}

// Bounds of connections and calls.
const (
	// DialTimeout is the default bound of a handshake.
	DialTimeout = time.Second
	// CallTimeout bounds a call whose context has no deadline.
	CallTimeout = 5 * time.Second
	// maxCalls is the number of calls in progress on one connection.
	maxCalls = 512
	// maxConnections is the number of connections that a server keeps.
	maxConnections = 4096
	// maxCallTime bounds a handler, whatever its caller asks for.
	maxCallTime = time.Minute
	// KeepAlive is the default time between packets that keep a connection.
	KeepAliveInterval = 2 * time.Second
	// unused is how long a connection is kept without a call.
	unused = 30 * time.Second
	// backoffFirst and backoffMost bound the wait before a peer that could
	// not be dialled is dialled again; calls in between fail at once.
	backoffFirst = 50 * time.Millisecond
	backoffMost  = 2 * time.Second
)

// Clock is the hybrid logical clock that stamps frames.
type Clock interface {
	// Now returns a stamp later than every one returned or observed before.
	Now() timeline.Stamp
	// Observe takes in the stamp of a received frame and reports whether it
	// was plausible.
	Observe(timeline.Stamp) bool
}

// Config is what servers and clients need. The fields TLS and Self are
// required.
type Config struct {
	// Address is the server's listen address, IP:port; unused by clients.
	Address string
	// TLS holds the certificate and the trusted roots. It must verify the
	// other end; the ALPN list is set here.
	TLS *tls.Config
	// Self is sent with each frame; only peers of the same fleet are served.
	Self Identity
	// Clock stamps frames; nil leaves them unstamped.
	Clock Clock
	// Cut is the fault switch; nil blocks nothing.
	Cut *Cut
	// DialTimeout bounds a handshake; zero means the default.
	DialTimeout time.Duration
	// KeepAlive is the time between packets that keep an idle connection; one
	// without any packet for two and a half times as long is dead. Zero means
	// the default.
	KeepAlive time.Duration
}

func (c *Config) keepAlive() time.Duration {
	if c.KeepAlive == 0 {
		return KeepAliveInterval
	}
	return c.KeepAlive
}

func (c *Config) dialTimeout() time.Duration {
	if c.DialTimeout == 0 {
		return DialTimeout
	}
	return c.DialTimeout
}

func (c *Config) now() timeline.Stamp {
	if c.Clock == nil {
		return timeline.Stamp{}
	}
	return c.Clock.Now()
}

func (c *Config) observe(s timeline.Stamp) {
	if c.Clock != nil {
		c.Clock.Observe(s)
	}
}

func (c *Config) sender() sender {
	return sender{VM: c.Self.VM, Role: c.Self.Role, Incarnation: c.Self.Incarnation, Zone: c.Self.Zone}
}

func (c *Config) identity(s sender) Identity {
	return Identity{Fleet: c.Self.Fleet, VM: s.VM, Zone: s.Zone, Role: s.Role, Incarnation: s.Incarnation}
}

func (c *Config) quic() *quic.Config {
	return &quic.Config{
		HandshakeIdleTimeout:           c.dialTimeout(),
		MaxIdleTimeout:                 c.keepAlive() * 5 / 2,
		KeepAlivePeriod:                c.keepAlive(),
		MaxIncomingStreams:             maxCalls,
		MaxIncomingUniStreams:          -1,
		InitialStreamReceiveWindow:     64 << 10,
		MaxStreamReceiveWindow:         MaxFrameSize + prefixBytes,
		InitialConnectionReceiveWindow: 256 << 10,
		MaxConnectionReceiveWindow:     4 * MaxFrameSize,
	}
}

var (
	calls = promauto.NewCounterVec(prometheus.CounterOpts{
		Name: "pier_peer_calls_total",
		Help: "Calls to peers, by message type and result code (0 is success).",
	}, []string{"type", "code"})
	served = promauto.NewCounterVec(prometheus.CounterOpts{
		Name: "pier_peer_served_total",
		Help: "Calls served to peers, by message type and result code (0 is success).",
	}, []string{"type", "code"})
	dials = promauto.NewCounter(prometheus.CounterOpts{
		Name: "pier_peer_dials_total",
		Help: "Connections dialled to peers.",
	})
	transferred = promauto.NewCounterVec(prometheus.CounterOpts{
		Name: "pier_peer_bytes_total",
		Help: "Bytes of frames, by direction.",
	}, []string{"direction"})
)
