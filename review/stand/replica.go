//go:build review

package main

import (
	"fmt"
	"hash/fnv"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

const heartbeat = 1200 * time.Millisecond

// arrival is a request that reached a replica.
type arrival struct {
	id, replica, model, parts, tenant string
	at                                time.Time
	ran, turnedAway                   bool
}

// replica is a stand-in of a replica: a plain service, or a model engine that answers
// with a stream of events.
type replica struct {
	service, zone string
	slots         int
	work          time.Duration  // of a plain call
	events        int            // of a stream
	interval      time.Duration  // between two events
	confidence    map[string]int // by model
	deadlyPart    string         // a shared part that crashes the replica; empty for none
	downtime      time.Duration  // after a crash
	address       string
	store         *store
	log           *record

	mu         sync.Mutex
	name       string
	starts     int
	born       int64
	up         bool
	limit      string    // Server-Limit; empty for none
	silentTill time.Time // neither reads nor answers until then
	needUntil  time.Time
	pause      string // Retry-After of the 503 until needUntil
	running    int
	waiting    int
	listener   net.Listener
	server     *http.Server
	conns      map[net.Conn]bool
	arrivals   []arrival
	crashes    []time.Time
	slotsInUse chan struct{}
}

// start starts the first or the next incarnation, at the same address and with a new ID.
func (p *replica) start(name string) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	at := p.address
	if at == "" {
		at = "127.0.0.1:0"
	}
	l, err := net.Listen("tcp", at)
	if err != nil {
		return err
	}
	p.address, p.listener, p.conns, p.up = l.Addr().String(), l, make(map[net.Conn]bool), true
	p.name = fmt.Sprintf("%s-%d", name, p.starts)
	p.starts++
	p.born = time.Now().UnixMilli()
	p.running, p.waiting = 0, 0
	p.slotsInUse = make(chan struct{}, p.slots)
	p.server = &http.Server{Handler: p, ConnState: func(c net.Conn, s http.ConnState) {
		p.mu.Lock()
		defer p.mu.Unlock()
		if s == http.StateNew {
			p.conns[c] = true
		} else if s == http.StateClosed || s == http.StateHijacked {
			delete(p.conns, c)
		}
	}}
	go func(s *http.Server) { _ = s.Serve(l) }(p.server)
	p.publish()
	return nil
}

// publish writes the replica's entry. The lock must be held.
func (p *replica) publish() {
	p.store.put("servers", p.name, map[string]any{
		"service": p.service, "address": p.address, "zone": p.zone, "version": "v1", "slots": p.slots, "state": "ready",
		"coldRemainingMs": 0, "sequence": 1, "born": p.born,
	})
}

// crash ends the incarnation: its connections are reset and new ones refused. The next
// one starts after the downtime.
func (p *replica) crash(why string) {
	p.mu.Lock()
	if !p.up {
		p.mu.Unlock()
		return
	}
	p.up = false
	_ = p.listener.Close()
	for c := range p.conns {
		if tcp, ok := c.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0)
		}
		_ = c.Close()
	}
	name := p.name
	p.crashes = append(p.crashes, time.Now())
	p.mu.Unlock()
	p.log.printf("replica %s crashes: %s", name, why)
	time.AfterFunc(p.downtime, func() {
		p.store.remove("servers", name)
		base, _, _ := strings.Cut(name, "-")
		if err := p.start(base); err != nil {
			p.log.printf("replica %s does not start again: %v", name, err)
		}
	})
}

func (p *replica) setLimit(limit string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.limit = limit
}

func signature(replica, id string, status int) string {
	h := fnv.New64a()
	_, _ = fmt.Fprintf(h, "%s|%s|%d", replica, id, status)
	return fmt.Sprintf("%s.%x", replica, h.Sum64())
}

// ServeHTTP serves a request of an entry VM.
func (p *replica) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	id, model, parts := r.Header.Get("X-Attempt-Id"), r.Header.Get("X-Model"), r.Header.Get("X-Prefix-Hash")
	p.mu.Lock()
	name := p.name
	p.arrivals = append(p.arrivals, arrival{id: id, replica: name, model: model, parts: parts, tenant: r.Header.Get("X-Tenant"), at: time.Now()})
	index, limit, slots := len(p.arrivals)-1, p.limit, p.slotsInUse
	pause := ""
	if time.Now().Before(p.needUntil) {
		pause = p.pause
		p.arrivals[index].turnedAway = true
	}
	p.mu.Unlock()
	h := w.Header()
	h.Set("X-Replica-Id", name)
	if limit != "" {
		h.Set("Server-Limit", limit)
	}
	if e := r.Header.Get("X-Expected-Replica"); e != "" && e != name {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	p.mu.Lock()
	silent := time.Until(p.silentTill)
	p.mu.Unlock()
	time.Sleep(silent)
	if _, err := io.Copy(io.Discard, r.Body); err != nil {
		return
	}
	if pause != "" {
		p.log.printf("replica %s turns %s away with 503 and Retry-After: %s", name, id, pause)
		h.Set("X-Attempt-Id", id)
		h.Set("X-Not-Executed", "1")
		h.Set("Retry-After", pause)
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	p.mu.Lock()
	p.waiting++
	p.mu.Unlock()
	select {
	case slots <- struct{}{}:
		p.mu.Lock()
		p.waiting--
		p.running++
		p.arrivals[index].ran = true
		h.Set("X-Replica-Load", fmt.Sprintf("%d,%d,%d", p.running, p.waiting, p.slots))
		p.mu.Unlock()
	case <-r.Context().Done():
		p.mu.Lock()
		p.waiting--
		p.mu.Unlock()
		return
	}
	defer func() {
		p.mu.Lock()
		p.running--
		p.mu.Unlock()
		<-slots
	}()
	p.log.printf("replica %s runs %s model=%s", name, id, model)
	h.Set("X-Attempt-Id", id)
	h.Set("X-Response-Signature", signature(name, id, http.StatusOK))
	if p.events == 0 {
		body := "answer to " + id + " " + strings.Repeat("x", 780)
		select {
		case <-time.After(p.work):
		case <-r.Context().Done():
			return
		}
		h.Set("Content-Length", strconv.Itoa(len(body)))
		_, _ = io.WriteString(w, body)
		return
	}
	p.stream(w, r, name, id, model, parts)
}

func (p *replica) stream(w http.ResponseWriter, r *http.Request, name, id, model, parts string) {
	h := w.Header()
	h.Set("Content-Type", "text/event-stream")
	h.Set("X-Weight-Versions", "1")
	if c, ok := p.confidence[model]; ok {
		h.Set("X-Confidence", strconv.Itoa(c))
	}
	control := http.NewResponseController(w)
	first := 1
	if last, err := strconv.Atoi(r.Header.Get("Last-Event-Id")); err == nil {
		first = last + 1
	}
	time.Sleep(20 * time.Millisecond) // reads the prompt
	if p.deadlyPart != "" && hasSharedPart(parts, p.deadlyPart) {
		p.crash("it begins to write an answer on the part " + p.deadlyPart + " of " + id)
		return
	}
	for i := first; i <= p.events; i++ {
		if _, err := fmt.Fprintf(w, "id: %d\ndata: %s %s %d\n\n", i, id, model, i); err != nil || control.Flush() != nil {
			return
		}
		select {
		case <-time.After(p.interval):
		case <-r.Context().Done():
			return
		}
	}
}

// hasSharedPart reports whether a part of the prompt, other than the last, has an ID.
func hasSharedPart(parts, id string) bool {
	list := strings.Split(parts, ",")
	for _, part := range list[:len(list)-1] {
		if name, _, _ := strings.Cut(part, ":"); name == id {
			return true
		}
	}
	return false
}

func (p *replica) all() []arrival {
	p.mu.Lock()
	defer p.mu.Unlock()
	return append([]arrival(nil), p.arrivals...)
}

func (p *replica) crashTimes() []time.Time {
	p.mu.Lock()
	defer p.mu.Unlock()
	return append([]time.Time(nil), p.crashes...)
}
