package edge

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"k8s.io/klog/v2"

	"github.com/cranberrypier/cranberrypier/internal/result"
)

const (
	// refusalTimeout limits the sending of a refusal, and how long bytes that arrive
	// after it are discarded. A connection that is closed with unread bytes is reset,
	// and the client may lose the response.
	refusalTimeout = 500 * time.Millisecond
	// maxDiscardBytes limits the bytes that are discarded after a refusal.
	maxDiscardBytes = 256 << 10
	// unreadBodyTimeout limits how long net/http waits for a body that was not read
	// before the response.
	unreadBodyTimeout = 5 * time.Second
	// refusalLogInterval is the least time between two log lines of a kind.
	refusalLogInterval = time.Second
	// headerRetryAfter is about the time in which room for header sections becomes free.
	headerRetryAfter = time.Second
	// maxServerHeaderBytes is the limit in net/http. It only stands behind the limits
	// of connGuard, which answer sooner.
	maxServerHeaderBytes = 1 << 20
)

// refusal is why a connection was closed or a request refused before it was parsed: the
// values of the label of pier_refused_clients_total.
type refusal string

const (
	refusedTooLarge refusal = "header_too_large"
	refusedNoRoom   refusal = "no_header_room"
	refusedNewConn  refusal = "too_many_connections"
	closedSilent    refusal = "silent_connection_closed"
)

// errRefused ends a connection on which a refusal was sent. As an error of the network, it
// keeps net/http from sending another response.
var errRefused = &net.OpError{Op: "read", Net: "tcp", Err: errors.New("the request was refused")}

// connGuard bounds the connections of one listener and the memory of the header sections
// that they send. It is safe for concurrent use.
type connGuard struct {
	listener string
	maxConns int // zero for no limit
	// maxHeaderBytes returns the limit of the request line, and the one of the lines
	// after it, in bytes.
	maxHeaderBytes func() int
	budget         *byteBudget
	metrics        *Metrics
	// elsewhere tells other VMs that a refused request may be served elsewhere.
	elsewhere bool

	mu    sync.Mutex
	conns map[*guardedConn]struct{}

	lastLog sync.Map // of *atomic.Int64 by refusal, in Unix nanoseconds
}

func newConnGuard(listener string, maxConns int, maxHeaderBytes func() int, budget *byteBudget, metrics *Metrics) *connGuard {
	return &connGuard{
		listener: listener, maxConns: maxConns, maxHeaderBytes: maxHeaderBytes, budget: budget, metrics: metrics,
		conns: make(map[*guardedConn]struct{}),
	}
}

// protect connects the guard to a server. It returns the listener that the server uses.
func (g *connGuard) protect(server *http.Server, l net.Listener) net.Listener {
	server.MaxHeaderBytes = maxServerHeaderBytes
	server.Handler = g.handler(server.Handler)
	server.ConnState = func(c net.Conn, state http.ConnState) {
		if c, ok := c.(*guardedConn); ok && state == http.StateIdle {
			c.endRequest()
		}
	}
	inner := server.ConnContext
	server.ConnContext = func(ctx context.Context, c net.Conn) context.Context {
		if guarded, ok := c.(*guardedConn); ok && inner != nil {
			ctx = inner(ctx, guarded.Conn)
		}
		return context.WithValue(ctx, guardedConnKey{}, c)
	}
	return &guardedListener{Listener: l, guard: g}
}

// guardedConnKey is the context key of a request's connection.
type guardedConnKey struct{}

// handler tells the connection when its request is handled.
func (g *connGuard) handler(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		c, ok := r.Context().Value(guardedConnKey{}).(*guardedConn)
		if !ok {
			next.ServeHTTP(w, r)
			return
		}
		if !c.beginRequest(r.ContentLength) {
			g.record(refusedNoRoom, c)
			g.writeRefusal(w, noHeaderRoomError())
			return
		}
		next.ServeHTTP(w, r)
		if r.ContentLength != 0 && !c.hasReadDeadline.Load() {
			_ = c.SetReadDeadline(time.Now().Add(unreadBodyTimeout)) // net/http sets the next one
		}
	})
}

// guardedListener accepts the connections of a connGuard.
type guardedListener struct {
	net.Listener
	guard *connGuard
}

// Accept implements net.Listener.
func (l *guardedListener) Accept() (net.Conn, error) {
	for {
		conn, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if c := l.guard.admit(conn); c != nil {
			return c, nil
		}
	}
}

// admit takes a connection, or closes it and returns nil. At the limit, another one that
// has no request makes room: the one that has been silent longest, first of those that
// never had a request.
func (g *connGuard) admit(conn net.Conn) *guardedConn {
	c := &guardedConn{Conn: conn, guard: g}
	c.quietSince.Store(time.Now().UnixNano())
	g.mu.Lock()
	var silent *guardedConn
	full := g.maxConns > 0 && len(g.conns) >= g.maxConns
	if full {
		silent = g.longestSilent()
		delete(g.conns, silent)
	}
	if !full || silent != nil {
		g.conns[c] = struct{}{}
	}
	g.mu.Unlock()
	switch {
	case !full:
	case silent == nil:
		g.record(refusedNewConn, c)
		_ = conn.Close() // nothing was read from it
		return nil
	default:
		g.record(closedSilent, silent)
		_ = silent.Close() // it has no request
	}
	return c
}

// longestSilent returns the connection that makes room for another one; nil if all have
// requests. The caller holds g.mu.
func (g *connGuard) longestSilent() *guardedConn {
	var out *guardedConn
	for c := range g.conns {
		if c.active.Load() {
			continue
		}
		if out == nil || c.served.Load() != out.served.Load() && out.served.Load() ||
			c.served.Load() == out.served.Load() && c.quietSince.Load() < out.quietSince.Load() {
			out = c
		}
	}
	return out
}

// open returns the number of open connections.
func (g *connGuard) open() float64 {
	g.mu.Lock()
	defer g.mu.Unlock()
	return float64(len(g.conns))
}

func (g *connGuard) forget(c *guardedConn) {
	g.mu.Lock()
	defer g.mu.Unlock()
	delete(g.conns, c)
}

// record counts a refusal and logs it, at most once in refusalLogInterval for each kind.
func (g *connGuard) record(why refusal, c *guardedConn) {
	g.metrics.refusedClients.WithLabelValues(g.listener, string(why)).Inc()
	now := time.Now().UnixNano()
	last, _ := g.lastLog.LoadOrStore(why, new(atomic.Int64))
	at := last.(*atomic.Int64)
	if before := at.Load(); now-before < int64(refusalLogInterval) || !at.CompareAndSwap(before, now) {
		return
	}
	klog.InfoS("clients: refused or closed; more of this kind within a second are only counted", "listener", g.listener, "because", why,
		"from", c.RemoteAddr(), "open", int(g.open()), "limit", g.maxConns, "held", int(g.budget.inUse()))
}

// growHeaders is grow for header sections. They have their share of the room, and leave
// as much to small bodies as large bodies do.
func (b *byteBudget) growHeaders(from, to int64) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	used, large, headers := b.used+to-from, b.large+to-from, b.headers+to-from
	if to > from && b.limit > 0 && (float64(headers) > headerShare*float64(b.limit) || float64(large) > largeBodyShare*float64(b.limit) || used > b.limit) {
		return false
	}
	b.used, b.large, b.headers = used, large, headers
	return true
}

// headersInUse returns the bytes that are held for header sections.
func (b *byteBudget) headersInUse() float64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return float64(b.headers)
}

func noHeaderRoomError() *result.Error {
	return result.New(result.NoHeaderRoom, "this VM has no room for the header now").WithRetryAfter(headerRetryAfter)
}

func (g *connGuard) tooLargeError() *result.Error {
	return result.New(result.HeaderTooLarge, "the header is longer than %d bytes", g.maxHeaderBytes())
}

// setRefusalHeader sets the header of a refusal and returns its body.
func (g *connGuard) setRefusalHeader(h http.Header, e *result.Error) []byte {
	body, err := json.Marshal(errorBody{Code: e.Code, Name: e.Code.Info().Name, Run: e.Run, Detail: e.Detail})
	if err != nil {
		klog.ErrorS(err, "clients: refusal not encoded")
	}
	h.Set("Connection", "close")
	h.Set("Content-Type", "application/json")
	h.Set("Content-Length", fmt.Sprint(len(body)))
	if e.RetryAfter > 0 {
		h.Set("Retry-After", fmt.Sprintf("%.2f", e.RetryAfter.Seconds()))
	}
	if g.elsewhere {
		h.Set(forwardResultHeader, string(forwardResultElsewhere))
	}
	return body
}

func (g *connGuard) writeRefusal(w http.ResponseWriter, e *result.Error) {
	body := g.setRefusalHeader(w.Header(), e)
	w.WriteHeader(e.Code.Info().HTTPStatus)
	_, _ = w.Write(body) // the connection is closed in any case
}

// newGuard returns the guard of a listener of the process.
func (a *App) newGuard(listener string, maxConns int, maxHeaderBytes func() int) *connGuard {
	g := newConnGuard(listener, maxConns, maxHeaderBytes, a.proxy.bodies, a.options.Metrics)
	a.options.Metrics.registerOpenConns(listener, g.open)
	return g
}

// maxHeaderBytes returns the limit of the header sections of callers, in bytes.
func (s *Proxy) maxHeaderBytes() int {
	if c := s.config.Load(); c != nil && c.MaxHeaderBytes > 0 {
		return min(c.MaxHeaderBytes, maxServerHeaderBytes/4)
	}
	return maxHeaderBytes
}

func maxAdminHeaderBytes() int { return adminHeaderBytes }
