//go:build review

package main

import (
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/cranberrypier/cranberrypier/internal/fake/platformside"
)

// replica is a stand-in of a replica that keeps its address when it crashes and comes
// back under a new ID.
type replica struct {
	service, zone, version string
	slots                  int
	address                string

	mu       sync.Mutex
	current  *platformside.Replica
	all      []*platformside.Replica
	server   *httptest.Server
	born     int64
	sequence int
	faults   platformside.ReplicaFaults
	down     bool
	crashes  []time.Time
	arrivals []arrival
}

// arrival is a request that reached a replica.
type arrival struct {
	id, part, replica string
	at                time.Time
}

func newReplica(id, service, zone string, slots int) (*replica, error) {
	p := &replica{service: service, zone: zone, version: "v1", slots: slots, born: time.Now().UnixMilli() - 60_000}
	address, err := freeAddress("127.9.0.1")
	if err != nil {
		return nil, err
	}
	p.address = address
	p.current = platformside.NewReplica(id)
	p.all = append(p.all, p.current)
	return p, p.listen()
}

// listen serves the replica at its address.
func (p *replica) listen() error {
	l, err := net.Listen("tcp", p.address)
	if err != nil {
		return err
	}
	s := &httptest.Server{Listener: l, Config: &http.Server{Handler: p}}
	s.Config.ErrorLog = quietLog
	s.Start()
	p.server = s
	return nil
}

// ServeHTTP records a request and passes it on to the current incarnation.
func (p *replica) ServeHTTP(w http.ResponseWriter, req *http.Request) {
	p.mu.Lock()
	current := p.current
	p.arrivals = append(p.arrivals, arrival{id: req.Header.Get("X-Attempt-Id"), part: req.Header.Get("X-Prefix-Hash"), replica: current.ID, at: time.Now()})
	p.mu.Unlock()
	current.ServeHTTP(w, req)
}

func (p *replica) id() string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.current.ID
}

func (p *replica) setFaults(f platformside.ReplicaFaults) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.faults = f
	p.current.SetFaults(f)
}

// publish writes a replica's entry to the store.
func (r *rig) publish(p *replica, state string) {
	p.mu.Lock()
	p.sequence++
	id, sequence, born := p.current.ID, p.sequence, p.born
	p.mu.Unlock()
	r.store.Put("servers", id, map[string]any{
		"service": p.service, "address": p.address, "zone": p.zone, "version": p.version, "slots": p.slots,
		"state": state, "coldRemainingMs": 0, "sequence": sequence, "born": born,
	})
}

// crash ends the replica: its connections are closed and new ones refused. After
// replicaDownTime it is back under a new ID.
func (r *rig) crash(p *replica) {
	p.mu.Lock()
	if p.down {
		p.mu.Unlock()
		return
	}
	p.down = true
	p.crashes = append(p.crashes, time.Now())
	id, server, n := p.current.ID, p.server, len(p.crashes)
	p.mu.Unlock()
	r.note("replica %s crashes", id)
	_ = server.Listener.Close()
	go server.CloseClientConnections()
	time.AfterFunc(replicaDownTime, func() {
		p.mu.Lock()
		next := platformside.NewReplica(fmt.Sprintf("%s-%d", id[:6], n))
		next.Events, next.EventInterval, next.ProcessingTime, next.Crash = p.current.Events, p.current.EventInterval, p.current.ProcessingTime, p.current.Crash
		next.SetFaults(p.faults)
		p.current, p.down, p.born, p.sequence = next, false, time.Now().UnixMilli(), 0
		p.all = append(p.all, next)
		err := p.listen()
		p.mu.Unlock()
		if err != nil {
			r.note("replica %s does not come back: %v", next.ID, err)
			return
		}
		r.publish(p, "ready")
		r.note("replica %s is back as %s", id, next.ID)
	})
	time.AfterFunc(3*heartbeat, func() { r.store.Remove("servers", id) }) // after three intervals of silence
}

// hasPart reports whether a prompt has a part.
func hasPart(prefix, part string) bool {
	for entry := range strings.SplitSeq(prefix, ",") {
		if id, _, _ := strings.Cut(entry, ":"); id == part {
			return true
		}
	}
	return false
}

// incarnations returns all incarnations of the replica.
func (p *replica) incarnations() []*platformside.Replica {
	p.mu.Lock()
	defer p.mu.Unlock()
	return slices.Clone(p.all)
}
