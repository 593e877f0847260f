package sitesoak

import (
	"errors"
	"io"
	"math/rand/v2"
	"net"
	"sync"
	"sync/atomic"
	"time"
)

// linkFaults selects the faults that a proxy injects into its connections.
type linkFaults struct {
	// refuseConns closes new connections at once.
	refuseConns bool
	// dropToTarget and dropFromTarget drop the bytes to and from the target
	// without closing the connection.
	dropToTarget, dropFromTarget bool
	// delay is the time to wait before each chunk of bytes is forwarded.
	delay time.Duration
}

// proxy is a loopback TCP proxy that can inject faults.
type proxy struct {
	listener net.Listener
	target   string

	mu     sync.Mutex
	faults linkFaults
	conns  map[net.Conn]bool
	links  map[*link]bool
}

// link is a connection through a proxy. A silent one drops all bytes for good, without
// being closed; the kernel goes on acknowledging them.
type link struct{ silent atomic.Bool }

func newProxy(target string) (*proxy, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	p := &proxy{listener: l, target: target, conns: make(map[net.Conn]bool), links: make(map[*link]bool)}
	go p.accept()
	return p, nil
}

func (p *proxy) address() string { return p.listener.Addr().String() }

func (p *proxy) setFaults(f linkFaults) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.faults = f
}

func (p *proxy) currentFaults() linkFaults {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.faults
}

// resetConns closes all open connections with a TCP reset.
func (p *proxy) resetConns() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for c := range p.conns {
		if tcp, ok := c.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0) // makes Close send a TCP reset
		}
		_ = c.Close()
	}
}

// silenceConns makes a share of the open connections silent for good. New ones work.
func (p *proxy) silenceConns(rng *rand.Rand, share float64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for l := range p.links {
		if rng.Float64() < share {
			l.silent.Store(true)
		}
	}
}

func (p *proxy) close() {
	_ = p.listener.Close()
	p.resetConns()
}

func (p *proxy) accept() {
	for {
		c, err := p.listener.Accept()
		if err != nil {
			return // the listener is closed
		}
		if p.currentFaults().refuseConns {
			_ = c.Close()
			continue
		}
		go p.serve(c)
	}
}

func (p *proxy) serve(c net.Conn) {
	target, err := net.DialTimeout("tcp", p.target, time.Second)
	if err != nil {
		_ = c.Close()
		return
	}
	l := &link{}
	p.mu.Lock()
	p.conns[c], p.conns[target], p.links[l] = true, true, true
	p.mu.Unlock()
	var wg sync.WaitGroup
	wg.Go(func() { p.copy(target, c, func(f linkFaults) bool { return f.dropToTarget || l.silent.Load() }) })
	wg.Go(func() { p.copy(c, target, func(f linkFaults) bool { return f.dropFromTarget || l.silent.Load() }) })
	wg.Wait()
	_ = c.Close()
	_ = target.Close()
	p.mu.Lock()
	delete(p.conns, c)
	delete(p.conns, target)
	delete(p.links, l)
	p.mu.Unlock()
}

// copy forwards bytes, and drops them while shouldDrop reports true.
func (p *proxy) copy(to, from net.Conn, shouldDrop func(linkFaults) bool) {
	buf := make([]byte, 16<<10)
	for {
		n, err := from.Read(buf)
		f := p.currentFaults()
		time.Sleep(f.delay)
		drop := shouldDrop(f)
		if n > 0 && !drop {
			if _, err := to.Write(buf[:n]); err != nil {
				_ = from.Close()
				return
			}
		}
		if err != nil {
			if errors.Is(err, io.EOF) && !drop {
				if tcp, ok := to.(*net.TCPConn); ok {
					_ = tcp.CloseWrite() // the other direction may still be in use
					return
				}
			}
			_ = to.Close()
			return
		}
	}
}
