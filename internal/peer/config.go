package peer

import (
	"crypto/tls"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promauto"
	"github.com/quic-go/quic-go"

	"github.com/cranberrypier/cranberrypier/internal/timeline"
)

// protocols is the ALPN list, newest first.
var protocols = []string{"pier/1"}

// Limits and timeouts of connections and calls.
const (
	// DefaultDialTimeout is the default timeout of a handshake.
	DefaultDialTimeout = time.Second
	// CallTimeout is the timeout of a call whose context has no deadline.
	CallTimeout = 5 * time.Second
	// maxCallsPerConnection is the maximum number of calls in progress on one
	// connection.
	maxCallsPerConnection = 512
	// maxConnections is the maximum number of open connections of a server.
	maxConnections = 4096
	// maxHandlerTimeout is the upper limit of a handler's timeout. It also applies
	// when the caller requests a longer timeout.
	maxHandlerTimeout = time.Minute
	// DefaultKeepAliveInterval is the default interval of keep-alive packets on a
	// connection.
	DefaultKeepAliveInterval = 2 * time.Second
	// idleTimeout is how long the client keeps a connection without a call.
	idleTimeout = 30 * time.Second
	// minBackoff and maxBackoff are the limits of the wait after a failed dial
	// before the peer is dialed again. Until then calls to it fail at once.
	minBackoff = 50 * time.Millisecond
	maxBackoff = 2 * time.Second
)

// Clock is the hybrid logical clock that stamps frames.
type Clock interface {
	// Now returns a stamp later than every one returned or observed before.
	Now() timeline.Stamp
	// Observe advances the clock past the stamp of a received frame. It reports
	// whether the stamp was plausible.
	Observe(timeline.Stamp) bool
}

// Config configures servers and clients. The fields TLS and Self are required.
type Config struct {
	// Address is the server's listen address, IP:port. Clients don't use it.
	Address string
	// TLS contains the certificate and the trusted roots. It must verify the
	// peer's certificate. This package sets the ALPN list.
	TLS *tls.Config
	// Self is sent with each frame. A server rejects requests from peers of
	// another fleet.
	Self Identity
	// Clock stamps frames. If it is nil, frames have a zero stamp.
	Clock Clock
	// Partition blocks traffic for tests of network partitions. A nil Partition
	// blocks nothing.
	Partition *SimulatedPartition
	// DialTimeout is the timeout of a handshake. Zero means the default.
	DialTimeout time.Duration
	// KeepAliveInterval is the interval of keep-alive packets on an idle
	// connection. A connection that receives no packet for two and a half
	// intervals is closed. Zero means the default.
	KeepAliveInterval time.Duration
}

func (c *Config) keepAliveInterval() time.Duration {
	if c.KeepAliveInterval == 0 {
		return DefaultKeepAliveInterval
	}
	return c.KeepAliveInterval
}

func (c *Config) dialTimeout() time.Duration {
	if c.DialTimeout == 0 {
		return DefaultDialTimeout
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
		MaxIdleTimeout:                 c.keepAliveInterval() * 5 / 2,
		KeepAlivePeriod:                c.keepAliveInterval(),
		MaxIncomingStreams:             maxCallsPerConnection,
		MaxIncomingUniStreams:          -1,
		InitialStreamReceiveWindow:     64 << 10,
		MaxStreamReceiveWindow:         MaxFrameSize + prefixSize,
		InitialConnectionReceiveWindow: 256 << 10,
		MaxConnectionReceiveWindow:     4 * MaxFrameSize,
	}
}

var (
	callsTotal = promauto.NewCounterVec(prometheus.CounterOpts{
		Name: "pier_peer_calls_total",
		Help: "Calls to peers, by message type and result code (0 is success).",
	}, []string{"type", "code"})
	servedTotal = promauto.NewCounterVec(prometheus.CounterOpts{
		Name: "pier_peer_served_total",
		Help: "Calls served to peers, by message type and result code (0 is success).",
	}, []string{"type", "code"})
	dialsTotal = promauto.NewCounter(prometheus.CounterOpts{
		Name: "pier_peer_dials_total",
		Help: "Connections dialled to peers.",
	})
	bytesTotal = promauto.NewCounterVec(prometheus.CounterOpts{
		Name: "pier_peer_bytes_total",
		Help: "Bytes of frames, by direction.",
	}, []string{"direction"})
)
