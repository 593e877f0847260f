package peer

import (
	"context"
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"crypto/x509/pkix"
	"math/big"
	"net"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"go.uber.org/goleak"

	"github.com/cranberrypier/cranberrypier/internal/result"
	"github.com/cranberrypier/cranberrypier/internal/timeline"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// newTLSConfig returns a TLS configuration with a new certificate for the fleet
// that ca has signed.
func newTLSConfig(t testing.TB, fleet string, ca *authority) *tls.Config {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	require.NoError(t, err)
	cert := &x509.Certificate{
		SerialNumber: big.NewInt(2),
		Subject:      pkix.Name{Organization: []string{fleet}},
		NotAfter:     time.Now().Add(time.Hour),
		IPAddresses:  []net.IP{net.IPv4(127, 0, 0, 1)},
		ExtKeyUsage:  []x509.ExtKeyUsage{x509.ExtKeyUsageClientAuth, x509.ExtKeyUsageServerAuth},
	}
	der, err := x509.CreateCertificate(rand.Reader, cert, ca.cert, key.Public(), ca.key)
	require.NoError(t, err)
	pool := x509.NewCertPool()
	pool.AddCert(ca.cert)
	return &tls.Config{
		Certificates: []tls.Certificate{{Certificate: [][]byte{der}, PrivateKey: key}},
		RootCAs:      pool,
		ClientCAs:    pool,
		ClientAuth:   tls.RequireAndVerifyClientCert,
	}
}

type authority struct {
	cert *x509.Certificate
	key  *ecdsa.PrivateKey
}

func newAuthority(t testing.TB) *authority {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	require.NoError(t, err)
	cert := &x509.Certificate{
		SerialNumber: big.NewInt(1), IsCA: true, BasicConstraintsValid: true,
		NotAfter: time.Now().Add(time.Hour), KeyUsage: x509.KeyUsageCertSign,
	}
	der, err := x509.CreateCertificate(rand.Reader, cert, cert, key.Public(), key)
	require.NoError(t, err)
	parsed, err := x509.ParseCertificate(der)
	require.NoError(t, err)
	return &authority{parsed, key}
}

type textBody struct {
	S string `cbor:"1,keyasint"`
}

// counterClock is a clock whose wall time advances only by observed stamps.
type counterClock struct {
	mu    sync.Mutex
	stamp timeline.Stamp
}

func (c *counterClock) Now() timeline.Stamp {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.stamp.Count++
	return c.stamp
}

func (c *counterClock) Observe(s timeline.Stamp) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.stamp.Less(s) {
		c.stamp = s
	}
	return true
}

// startServer starts a server with the tests' handlers and returns its address
// and a function that stops it.
func startServer(t testing.TB, c Config) (string, func()) {
	if c.Address == "" {
		c.Address = "127.0.0.1:0"
	}
	c.DialTimeout = time.Minute
	s, err := NewServer(c)
	require.NoError(t, err)
	s.Handle("t.echo", func(_ context.Context, from Identity, b Body) (any, error) {
		var in textBody
		if err := b.Decode(&in); err != nil {
			return nil, err
		}
		return textBody{from.VM + ":" + in.S}, nil
	})
	s.Handle("t.fail", func(context.Context, Identity, Body) (any, error) {
		return nil, result.New(result.LeaseLost, "gone")
	})
	s.Handle("t.wait", func(ctx context.Context, _ Identity, _ Body) (any, error) {
		<-ctx.Done()
		return nil, ctx.Err()
	})
	s.Handle("t.large", func(context.Context, Identity, Body) (any, error) {
		return textBody{strings.Repeat("x", MaxFrameSize)}, nil
	})
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan error, 1)
	go func() { done <- s.Serve(ctx) }()
	var once sync.Once
	stop := func() {
		once.Do(func() {
			cancel()
			require.NoError(t, <-done)
		})
	}
	t.Cleanup(stop)
	return s.Address(), stop
}

func newClient(t testing.TB, c Config) *Client {
	c.DialTimeout = time.Minute
	client, err := NewClient(c)
	require.NoError(t, err)
	t.Cleanup(func() { client.Close() })
	return client
}

func identity(vm, zone string) Identity {
	return Identity{Fleet: "horn", VM: vm, Zone: zone, Role: "router", Incarnation: 7}
}

func TestCallOutcomes(t *testing.T) {
	ca, other := newAuthority(t), newAuthority(t)
	addr, _ := startServer(t, Config{TLS: newTLSConfig(t, "horn", ca), Self: identity("s", "z1"), Clock: &counterClock{}})
	otherFleet := identity("c", "z2")
	otherFleet.Fleet = "capsule"
	rows := []struct {
		name   string
		config Config
		kind   Type
		in     any
		code   result.Code
		run    result.RunState
	}{
		{"a response arrives", Config{TLS: newTLSConfig(t, "horn", ca), Self: identity("c", "z2")}, "t.echo", textBody{"hi"}, 0, ""},
		{"a handler's error keeps its code", Config{TLS: newTLSConfig(t, "horn", ca), Self: identity("c", "z2")}, "t.fail", nil, result.LeaseLost, result.NotRun},
		{"an unknown type is rejected", Config{TLS: newTLSConfig(t, "horn", ca), Self: identity("c", "z2")}, "t.none", nil, result.PeerRefused, result.NotRun},
		{"a request frame above the limit is rejected before it is sent", Config{TLS: newTLSConfig(t, "horn", ca), Self: identity("c", "z2")}, "t.echo", textBody{strings.Repeat("x", MaxFrameSize)}, result.PeerMessageInvalid, result.NotRun},
		{"a response frame above the limit returns a coded error", Config{TLS: newTLSConfig(t, "horn", ca), Self: identity("c", "z2")}, "t.large", nil, result.PeerMessageInvalid, result.NotRun},
		{"a body of another type is rejected", Config{TLS: newTLSConfig(t, "horn", ca), Self: identity("c", "z2")}, "t.echo", "text", result.PeerMessageInvalid, result.NotRun},
		{"a frame of another fleet is rejected", Config{TLS: newTLSConfig(t, "horn", ca), Self: otherFleet}, "t.echo", textBody{"hi"}, result.PeerRefused, result.NotRun},
		{"a certificate of another fleet is rejected", Config{TLS: newTLSConfig(t, "capsule", ca), Self: identity("c", "z2")}, "t.echo", textBody{"hi"}, result.PeerRefused, result.NotRun},
		{"a certificate of another authority is rejected", Config{TLS: newTLSConfig(t, "horn", other), Self: identity("c", "z2")}, "t.echo", textBody{"hi"}, result.PeerRefused, result.NotRun},
	}
	for _, row := range rows {
		t.Run(row.name, func(t *testing.T) {
			client := newClient(t, row.config)
			var out textBody
			err := client.Call(t.Context(), addr, row.kind, row.in, &out)
			if row.code == 0 {
				require.NoError(t, err)
				require.Equal(t, "c:hi", out.S)
				return
			}
			require.Equal(t, row.code, result.From(err).Code, "%v", err)
			require.Equal(t, row.run, result.From(err).Run)
		})
	}
}

func TestProtocolWithoutCommonVersionIsRefused(t *testing.T) {
	ca := newAuthority(t)
	addr, _ := startServer(t, Config{TLS: newTLSConfig(t, "horn", ca), Self: identity("s", "z1")})
	old := protocols
	protocols = []string{"pier/0"}
	defer func() { protocols = old }()
	err := newClient(t, Config{TLS: newTLSConfig(t, "horn", ca), Self: identity("c", "z2")}).Call(t.Context(), addr, "t.echo", textBody{}, nil)
	require.True(t, result.Is(err, result.PeerVersion), "%v", err)
}

func TestPeerIsRedialedAfterRestartAndFailsFastWhileDown(t *testing.T) {
	ca := newAuthority(t)
	c := Config{TLS: newTLSConfig(t, "horn", ca), Self: identity("s", "z1")}
	addr, stop := startServer(t, c)
	client := newClient(t, Config{TLS: newTLSConfig(t, "horn", ca), Self: identity("c", "z2")})
	client.config.DialTimeout = 100 * time.Millisecond
	call := func() error { return client.Call(t.Context(), addr, "t.echo", textBody{"a"}, nil) }
	require.Eventually(t, func() bool { return call() == nil }, time.Minute, time.Millisecond)
	stop()
	require.Eventually(t, func() bool { return result.From(call()).Run == result.NotRun }, time.Minute, time.Millisecond)
	require.Eventually(t, func() bool { return strings.Contains(call().Error(), "next try in") }, time.Minute, time.Millisecond,
		"a call during the backoff must not dial")
	c.Address = addr
	startServer(t, c)
	require.Eventually(t, func() bool { return call() == nil }, time.Minute, 10*time.Millisecond)
}

func TestCanceledCallEndsTheHandler(t *testing.T) {
	ca := newAuthority(t)
	c := Config{TLS: newTLSConfig(t, "horn", ca), Self: identity("s", "z1"), Address: "127.0.0.1:0"}
	s, err := NewServer(c)
	require.NoError(t, err)
	entered, returned := make(chan struct{}), make(chan struct{})
	s.Handle("t.block", func(ctx context.Context, _ Identity, _ Body) (any, error) {
		close(entered)
		<-ctx.Done()
		close(returned)
		return nil, ctx.Err()
	})
	serveCtx, stop := context.WithCancel(t.Context())
	done := make(chan error, 1)
	go func() { done <- s.Serve(serveCtx) }()
	ctx, cancel := context.WithCancel(t.Context())
	go func() { <-entered; cancel() }()
	client := newClient(t, Config{TLS: c.TLS, Self: identity("c", "z2")})
	err = client.Call(ctx, s.Address(), "t.block", nil, nil)
	require.Equal(t, result.Unknown, result.From(err).Run, "a call that was sent may have run")
	<-returned
	stop()
	require.NoError(t, <-done)
}

func TestPartitionBlocksBothDirections(t *testing.T) {
	ca := newAuthority(t)
	serverCut := &SimulatedPartition{}
	addr, _ := startServer(t, Config{TLS: newTLSConfig(t, "horn", ca), Self: identity("s", "z1"), Partition: serverCut})
	clientCut := &SimulatedPartition{}
	client := newClient(t, Config{TLS: newTLSConfig(t, "horn", ca), Self: identity("c", "z2"), Partition: clientCut})
	call := func() error {
		ctx, cancel := context.WithTimeout(t.Context(), 300*time.Millisecond)
		defer cancel()
		return client.Call(ctx, addr, "t.fail", nil, nil)
	}
	require.Eventually(t, func() bool { return result.Is(call(), result.LeaseLost) }, time.Minute, time.Millisecond)
	for _, b := range []Block{{VMs: []string{"s"}}, {Zones: []string{"z1"}}, {Addresses: []string{addr}}} {
		clientCut.Set(b)
		require.Equal(t, result.NotRun, result.From(call()).Run, "%+v", b)
	}
	clientCut.Set(Block{})
	for _, b := range []Block{{VMs: []string{"c"}}, {Zones: []string{"z2"}}} {
		serverCut.Set(b)
		require.True(t, result.Is(call(), result.PeerUnreachable))
	}
	serverCut.Set(Block{})
	require.Eventually(t, func() bool { return result.Is(call(), result.LeaseLost) }, time.Minute, time.Millisecond)
}

func TestClientObservesTheServersStamp(t *testing.T) {
	ca := newAuthority(t)
	serverClock, clientClock := &counterClock{stamp: timeline.Stamp{WallMS: 50}}, &counterClock{}
	addr, _ := startServer(t, Config{TLS: newTLSConfig(t, "horn", ca), Self: identity("s", "z1"), Clock: serverClock})
	client := newClient(t, Config{TLS: newTLSConfig(t, "horn", ca), Self: identity("c", "z2"), Clock: clientClock})
	require.NoError(t, client.Call(t.Context(), addr, "t.echo", textBody{}, nil))
	require.Equal(t, int64(50), clientClock.Now().WallMS)
}

func TestConcurrentCallsShareOneConnection(t *testing.T) {
	ca := newAuthority(t)
	addr, _ := startServer(t, Config{TLS: newTLSConfig(t, "horn", ca), Self: identity("s", "z1")})
	client := newClient(t, Config{TLS: newTLSConfig(t, "horn", ca), Self: identity("c", "z2")})
	var failed atomic.Int64
	var work sync.WaitGroup
	for range 200 {
		work.Go(func() {
			ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
			defer cancel()
			if client.Call(ctx, addr, "t.echo", textBody{"x"}, nil) != nil {
				failed.Add(1)
			}
		})
	}
	work.Wait()
	require.Zero(t, failed.Load())
	require.Len(t, client.links, 1)
}

func FuzzFrame(f *testing.F) {
	for _, seed := range []string{"", "\x00\x00\x00\x01\xa0", "\xff\xff\xff\xff", "\x00\x00\x00\x02\x81\x81"} {
		f.Add([]byte(seed))
	}
	var good strings.Builder
	require.NoError(f, writeFrame(&good, &requestFrame{Type: "t.echo", Fleet: "horn", Body: []byte{0xa0}}))
	f.Add([]byte(good.String()))
	f.Fuzz(func(t *testing.T, b []byte) {
		var in requestFrame
		if readFrame(strings.NewReader(string(b)), &in) != nil {
			return
		}
		var out strings.Builder
		require.NoError(t, writeFrame(&out, &in))
		var again requestFrame
		require.NoError(t, readFrame(strings.NewReader(out.String()), &again))
		require.Equal(t, in.Type, again.Type)
		require.Equal(t, in.Sender, again.Sender)
	})
}

func BenchmarkCall(b *testing.B) {
	ca := newAuthority(b)
	addr, _ := startServer(b, Config{TLS: newTLSConfig(b, "horn", ca), Self: identity("s", "z1")})
	client := newClient(b, Config{TLS: newTLSConfig(b, "horn", ca), Self: identity("c", "z2")})
	b.ReportAllocs()
	for b.Loop() {
		require.NoError(b, client.Call(b.Context(), addr, "t.echo", textBody{"x"}, nil))
	}
}
