package drain

import (
	"sync"

	"github.com/cranberrypier/cranberrypier/internal/result"
)

// Gate counts the requests in progress and rejects new ones once it is closed.
//
// Invariant: InFlight does not grow after Close has returned. Enter and Close
// use one lock, so no request can enter between the check and the count.
type Gate struct {
	mu       sync.Mutex
	inFlight int
	closed   bool
	unready  bool
}

// Enter adds a request to the count, or rejects it with Draining.
func (g *Gate) Enter() error {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.closed {
		return result.New(result.Draining, "this VM is stopping; retry the request at another VM")
	}
	g.inFlight++
	return nil
}

// Leave removes a request from the count.
func (g *Gate) Leave() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.inFlight--
}

// SetUnready makes Ready return false permanently.
func (g *Gate) SetUnready() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.unready = true
}

// Close rejects all new requests from now on.
func (g *Gate) Close() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.closed = true
}

// Ready reports whether the load balancer should send requests.
func (g *Gate) Ready() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return !g.unready && !g.closed
}

// InFlight returns the number of requests in progress.
func (g *Gate) InFlight() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.inFlight
}
