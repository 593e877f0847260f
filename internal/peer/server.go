package peer

import (
	"context"
	"crypto/tls"
	"crypto/x509"
	"errors"
	"net"
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/gravitational/trace"
	"github.com/quic-go/quic-go"
	"k8s.io/klog/v2"

	"github.com/cranberrypier/cranberrypier/internal/result"
)

// Server serves calls of peers. Handlers run concurrently. The context of each
// has the caller's remaining time, at most maxHandlerTimeout, as its timeout.
type Server struct {
	config    Config
	transport *quic.Transport
	listener  *quic.Listener

	mu          sync.RWMutex
	handlers    map[Type]Handler
	connections int
	connWork    sync.WaitGroup
}

var _ Mux = (*Server)(nil)

// NewServer returns a server and binds its address. Calls before Serve runs wait
// instead of failing. It fails with SettingsInvalid if the address can't be
// resolved, with AddressInUse if it can't be bound, and with KeyFilesInvalid if
// the TLS configuration is missing or the QUIC listener can't use it.
func NewServer(c Config) (*Server, error) {
	if c.TLS == nil {
		return nil, trace.Wrap(result.New(result.KeyFilesInvalid, "peer server has no key material"))
	}
	addr, err := net.ResolveUDPAddr("udp", c.Address)
	if err != nil {
		return nil, trace.Wrap(result.New(result.SettingsInvalid, "peer address %q: %v", c.Address, err))
	}
	socket, err := net.ListenUDP("udp", addr)
	if err != nil {
		return nil, trace.Wrap(result.New(result.AddressInUse, "cannot listen on peer address %s: %v", c.Address, err))
	}
	tlsConfig := c.TLS.Clone()
	tlsConfig.NextProtos = protocols
	tlsConfig.MinVersion = tls.VersionTLS13
	transport := &quic.Transport{Conn: socket}
	listener, err := transport.Listen(tlsConfig, c.quic())
	if err != nil {
		_ = transport.Close()
		_ = socket.Close()
		return nil, trace.Wrap(result.New(result.KeyFilesInvalid, "peer listener: %v", err))
	}
	return &Server{config: c, transport: transport, listener: listener, handlers: map[Type]Handler{}}, nil
}

// Handle registers h for t. It panics if t already has a handler.
func (s *Server) Handle(t Type, h Handler) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, ok := s.handlers[t]; ok {
		panic("peer: two handlers for " + string(t))
	}
	s.handlers[t] = h
}

// Address returns the bound address.
func (s *Server) Address() string { return s.listener.Addr().String() }

// Serve accepts connections until ctx is done. It then ends all calls in progress
// and closes the socket.
func (s *Server) Serve(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	defer s.shutdown()
	defer cancel()
	for {
		conn, err := s.listener.Accept(ctx)
		if ctx.Err() != nil || errors.Is(err, quic.ErrServerClosed) {
			return nil
		}
		if err != nil {
			return trace.Wrap(result.New(result.Internal, "peer: accept: %v", err))
		}
		if !s.addConnection() {
			_ = conn.CloseWithError(closeBusy, "too many connections")
			continue
		}
		s.connWork.Go(func() {
			defer s.removeConnection()
			s.serveConn(ctx, conn)
		})
	}
}

func (s *Server) shutdown() {
	s.connWork.Wait()
	_ = s.listener.Close()
	_ = s.transport.Close()
	_ = s.transport.Conn.Close()
}

func (s *Server) addConnection() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.connections >= maxConnections {
		return false
	}
	s.connections++
	return true
}

func (s *Server) removeConnection() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.connections--
}

// Application error codes for closing a connection.
const (
	closeDone quic.ApplicationErrorCode = 0
	closeBusy quic.ApplicationErrorCode = 1
)

func (s *Server) serveConn(ctx context.Context, conn *quic.Conn) {
	var streams sync.WaitGroup
	defer streams.Wait()
	stop := context.AfterFunc(ctx, func() { _ = conn.CloseWithError(closeDone, "stopping") })
	defer stop()
	for {
		stream, err := conn.AcceptStream(ctx)
		if err != nil {
			_ = conn.CloseWithError(closeDone, "done")
			return
		}
		streams.Go(func() { s.serveStream(conn, stream) })
	}
}

func (s *Server) serveStream(conn *quic.Conn, stream *quic.Stream) {
	defer func() { _ = stream.Close() }()
	defer stream.CancelRead(0)
	_ = stream.SetDeadline(time.Now().Add(CallTimeout))
	var request requestFrame
	err := readFrame(stream, &request)
	if err != nil && !result.Is(err, result.PeerMessageInvalid) {
		return
	}
	var response responseFrame
	if err != nil {
		response = errorResponse(err)
	} else {
		if s.config.Partition.blocksPeer(s.config.identity(request.Sender)) {
			<-conn.Context().Done()
			return
		}
		response = s.callHandler(stream.Context(), conn, &request)
	}
	s.countCall(request.Type, response.Code)
	response.Stamp = s.config.now()
	response.Sender = s.config.sender()
	_ = stream.SetDeadline(time.Now().Add(CallTimeout))
	if err := writeFrame(stream, &response); result.Is(err, result.PeerMessageInvalid) {
		tooLarge := errorResponse(err)
		tooLarge.Stamp, tooLarge.Sender = response.Stamp, response.Sender
		_ = writeFrame(stream, &tooLarge)
	}
}

// callHandler checks the sender and runs the handler. The handler's context is
// canceled when the caller cancels the stream or the connection is closed, so
// that a handler does not outlive its call.
func (s *Server) callHandler(ctx context.Context, conn *quic.Conn, r *requestFrame) responseFrame {
	from := s.config.identity(r.Sender)
	if err := s.checkSender(conn.ConnectionState().TLS.PeerCertificates, r); err != nil {
		return errorResponse(err)
	}
	s.config.observe(r.Stamp)
	s.mu.RLock()
	h, ok := s.handlers[r.Type]
	s.mu.RUnlock()
	if !ok {
		return errorResponse(result.New(result.PeerRefused, "no handler for this message type"))
	}
	limit := CallTimeout
	if r.TimeoutMS > 0 {
		limit = min(time.Duration(min(r.TimeoutMS, maxHandlerTimeout.Milliseconds()))*time.Millisecond, maxHandlerTimeout)
	}
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	out, err := h(ctx, from, Body(r.Body))
	if err != nil {
		return errorResponse(err)
	}
	if out == nil {
		return responseFrame{}
	}
	body, err := Encode(out)
	if err != nil {
		return errorResponse(err)
	}
	return responseFrame{Body: cbor.RawMessage(body)}
}

// checkSender returns an error if the frame or the certificate of the sender is
// of another fleet, or if the certificate is for another VM or role.
func (s *Server) checkSender(certs []*x509.Certificate, r *requestFrame) error {
	if r.Fleet != s.config.Self.Fleet {
		return result.New(result.PeerRefused, "the sender is of fleet %q, this fleet is %q", r.Fleet, s.config.Self.Fleet)
	}
	if len(certs) == 0 {
		return result.New(result.PeerRefused, "the sender has no certificate")
	}
	subject := certs[0].Subject
	if len(subject.Organization) > 0 && !slices.Contains(subject.Organization, r.Fleet) {
		return result.New(result.PeerRefused, "the sender's certificate is for fleet %v", subject.Organization)
	}
	if subject.CommonName != "" && subject.CommonName != r.Sender.VM {
		return result.New(result.PeerRefused, "the sender's certificate is for VM %q, not %q", subject.CommonName, r.Sender.VM)
	}
	if len(subject.OrganizationalUnit) > 0 && !slices.Contains(subject.OrganizationalUnit, r.Sender.Role) {
		return result.New(result.PeerRefused, "the sender's certificate is for roles %v, not %q", subject.OrganizationalUnit, r.Sender.Role)
	}
	return nil
}

// countCall counts a served call. Types without a handler are counted as
// "unknown", so that peers can't create labels.
func (s *Server) countCall(t Type, c result.Code) {
	s.mu.RLock()
	_, ok := s.handlers[t]
	s.mu.RUnlock()
	if !ok {
		t = "unknown"
	}
	servedTotal.WithLabelValues(string(t), strconv.Itoa(int(c))).Inc()
	if c == result.Internal {
		klog.Warningf("peer: The call %s failed with an internal error.", t)
	}
}

func errorResponse(err error) responseFrame {
	e := result.From(err)
	if e.Code == result.Internal && (errors.Is(err, context.Canceled) || errors.Is(err, context.DeadlineExceeded)) {
		e = result.New(result.PeerUnreachable, "the call was canceled or its timeout has passed")
	}
	return responseFrame{Code: e.Code, Detail: e.Detail, Run: e.Run, RetryAfterMS: e.RetryAfter.Milliseconds()}
}
