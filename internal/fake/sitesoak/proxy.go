package sitesoak

import (
	"errors"
	"io"
	"net"
	"sync"
	"time"
)

// link is what a proxy does to the bytes that pass.
type link struct {
	// refuse closes new connections at once.
	refuse bool
	// up and down stop the bytes to and from the target without closing.
	up, down bool
	// delay is added to each piece of bytes.
	delay time.Duration
}

// proxy is a loopback TCP proxy with faults.
type proxy struct {
	listener net.Listener
	target   string

	mu    sync.Mutex
	state link
	conns map[net.Conn]bool
}

func newProxy(target string) (*proxy, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	p := &proxy{listener: l, target: target, conns: make(map[net.Conn]bool)}
	go p.accept()
	return p, nil
}

func (p *proxy) address() string { return p.listener.Addr().String() }

func (p *proxy) set(l link) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.state = l
}

func (p *proxy) get() link {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.state
}

// reset resets all open connections.
func (p *proxy) reset() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for c := range p.conns {
		if tcp, ok := c.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0) // makes Close send a reset
		}
		_ = c.Close()
	}
}

func (p *proxy) close() {
	_ = p.listener.Close()
	p.reset()
}

func (p *proxy) accept() {
	for {
		c, err := p.listener.Accept()
		if err != nil {
			return // closed
		}
		if p.get().refuse {
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
	p.mu.Lock()
	p.conns[c], p.conns[target] = true, true
	p.mu.Unlock()
	var wait sync.WaitGroup
	wait.Go(func() { p.copy(target, c, func(l link) bool { return l.up }) })
	wait.Go(func() { p.copy(c, target, func(l link) bool { return l.down }) })
	wait.Wait()
	_ = c.Close()
	_ = target.Close()
	p.mu.Lock()
	delete(p.conns, c)
	delete(p.conns, target)
	p.mu.Unlock()
}

// copy passes bytes on; while stopped reports true they are held and then lost.
func (p *proxy) copy(to, from net.Conn, stopped func(link) bool) {
	buf := make([]byte, 16<<10)
	for {
		n, err := from.Read(buf)
		l := p.get()
		time.Sleep(l.delay)
		silent := stopped(l)
		if n > 0 && !silent {
			if _, err := to.Write(buf[:n]); err != nil {
				_ = from.Close()
				return
			}
		}
		if err != nil {
			if errors.Is(err, io.EOF) && !silent {
				if tcp, ok := to.(*net.TCPConn); ok {
					_ = tcp.CloseWrite() // the other direction may go on
					return
				}
			}
			_ = to.Close()
			return
		}
	}
}
