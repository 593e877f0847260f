package edge_test

import (
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"github.com/cranberrypier/cranberrypier/internal/fake/platformside"
)

// A request that crashes every replica that runs it is sent repeatedly. After
// the third crash no VM may send it to a replica, while other requests are
// still served.
func TestPoisonRequest(t *testing.T) {
	s := newStandardSite(t)
	s.startVM("vm-2")
	for i := range 6 {
		id := fmt.Sprintf("crashing%d", i)
		p, server := s.listenReplica(id)
		p.SetFaults(platformside.ReplicaFaults{LoseAnswer: true})
		p.Crash = func() {
			_ = server.Listener.Close() // new connections are refused from now on
			s.store.Remove("servers", id)
		}
		s.putEntry(id, orders, s.addresses[id], nil)
	}
	for i := range 3 {
		s.store.Remove("servers", fmt.Sprintf("o%d", i)) // only crashing replicas are left
	}
	time.Sleep(s.vms[0].settings.Bounds.DrainPeriod) // the VMs receive the changes
	send := func(vm int, id, body string) callResult {
		s.vms[0], s.vms[vm] = s.vms[vm], s.vms[0] // do uses the first VM
		defer func() { s.vms[0], s.vms[vm] = s.vms[vm], s.vms[0] }()
		return s.do(call{id: id, path: "/once/x", key: key, body: body})
	}
	for i := range 3 {
		assert.Equal(t, 502, send(0, fmt.Sprintf("poison-%d", i), "poison").status)
		time.Sleep(1300 * time.Millisecond) // the VMs receive the removal and each other's crashes
	}
	s.setFaults("crashing", platformside.ReplicaFaults{})
	for vm := range 2 {
		id := fmt.Sprintf("again-%d", vm)
		g := send(vm, id, "poison")
		assert.Equal(t, 503, g.status)
		assert.NotEmpty(t, g.header.Get("Retry-After"))
		assert.Empty(t, s.runs(id), "VM %d sent it to a replica", vm)
		assert.Equal(t, 200, send(vm, id+"-other", "other").status)
	}
}

// Guards against sound requests that are refused because their upstreams broke
// connections and stopped, as planned, some time later.
func TestBrokenConnectionsBeforePlannedStopsBlockNothing(t *testing.T) {
	s := newStandardSite(t)
	for i := range 3 {
		id := fmt.Sprintf("breaking%d", i)
		p, _ := s.listenReplica(id)
		p.SetFaults(platformside.ReplicaFaults{LoseAnswer: true})
		s.putEntry(id, orders, s.addresses[id], nil)
	}
	for i := range 3 {
		s.store.Remove("servers", fmt.Sprintf("o%d", i))
	}
	time.Sleep(s.vms[0].settings.Bounds.DrainPeriod)
	for i := range 3 {
		id := fmt.Sprintf("broken-%d", i)
		assert.Equal(t, 502, s.do(call{id: id, path: "/once/x", key: key, body: "sound"}).status)
		for _, r := range s.runs(id) {
			s.store.Remove("servers", r.Replica)
		}
		time.Sleep(1300 * time.Millisecond) // the VM receives the removal
	}
	s.startReplica("sound", orders)
	time.Sleep(s.vms[0].settings.Bounds.DrainPeriod)
	assert.Equal(t, 200, s.do(call{id: "sound", path: "/once/x", key: key, body: "sound"}).status)
}

// crashingFleet is a site whose model replicas crash on a deadly part and start
// again at other addresses.
type crashingFleet struct {
	*site
	mu      sync.Mutex
	crashes int
	starts  int
	ended   bool
}

// restartDelay is how long a crashed replica is down; its entry stays in the list
// for half of it.
const restartDelay = time.Second

func newCrashingFleet(t *testing.T, replicas, vms int, faults platformside.ReplicaFaults) *crashingFleet {
	c := &crashingFleet{site: newSite(t)}
	t.Cleanup(func() {
		c.mu.Lock()
		defer c.mu.Unlock()
		c.ended = true
	})
	c.configure(routes(), key)
	for range replicas {
		c.start(faults)
	}
	for i := range vms {
		c.startVM(fmt.Sprintf("vm-%d", i))
	}
	time.Sleep(300 * time.Millisecond) // the VMs hear of each other
	return c
}

func (c *crashingFleet) start(faults platformside.ReplicaFaults) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.ended {
		return
	}
	c.starts++
	id := fmt.Sprintf("e%d", c.starts)
	p, server := c.listenReplica(id)
	p.SetFaults(faults)
	var once sync.Once
	p.Crash = func() {
		once.Do(func() {
			_ = server.Listener.Close() // new connections are refused from now on
			go server.CloseClientConnections()
			c.mu.Lock()
			c.crashes++
			c.mu.Unlock()
			time.AfterFunc(restartDelay/2, func() { c.store.Remove("servers", id) })
			time.AfterFunc(restartDelay, func() { c.start(faults) })
		})
	}
	c.putEntry(id, engine, c.addresses[id], nil)
}

func (c *crashingFleet) crashCount() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.crashes
}

// prompt returns a request whose prompt has some shared parts; no two are alike.
func (c *crashingFleet) prompt(id string, parts ...string) call {
	r := chat(id)
	r.body, r.deadline = "prompt of "+id, 2*time.Second
	r.header["X-Prefix-Hash"] = ""
	for _, part := range parts {
		r.header["X-Prefix-Hash"] += part + ":800,"
	}
	r.header["X-Prefix-Hash"] += "own-" + id + ":60"
	return r
}

// Guards against upstreams that crash one after the other on requests that share a
// deadly part of their prompts and nothing else, and against sound requests that
// are refused because they share the caller and the other parts.
func TestDeadlyPromptPartKeepsCrashingUpstreams(t *testing.T) {
	testDeadlyPart(t, platformside.ReplicaFaults{DeadlyPart: "dead"})
}

// Guards against a deadly part that counts as harmless, because the answers that it
// cuts short look complete.
func TestDeadlyPartInAnswersThatLookCompleteKeepsCrashingUpstreams(t *testing.T) {
	testDeadlyPart(t, platformside.ReplicaFaults{DeadlyPart: "dead", Unframed: true})
}

func testDeadlyPart(t *testing.T, faults platformside.ReplicaFaults) {
	c := newCrashingFleet(t, 8, 2, faults)
	const (
		maxCrashes     = 5
		maxLateCrashes = 3
	)
	sound, served := 0, 0
	atFifth, settled := time.Time{}, 0
	for i := range 60 {
		c.vms[0], c.vms[1] = c.vms[1], c.vms[0] // do uses the first VM
		c.do(c.prompt(fmt.Sprintf("dead-%d", i), "system", "dead"))
		if c.crashCount() >= maxCrashes && atFifth.IsZero() {
			atFifth = time.Now()
		}
		if !atFifth.IsZero() && settled == 0 && time.Since(atFifth) > 3*time.Second {
			settled = c.crashCount()
		}
		g := c.do(c.prompt(fmt.Sprintf("sound-%d", i), "system", fmt.Sprintf("subject-%d", i%7)))
		if i >= 30 {
			sound++
			if g.err == nil && g.status == 200 {
				served++
			}
		}
		time.Sleep(80 * time.Millisecond)
	}
	if settled > 0 {
		assert.LessOrEqual(t, c.crashCount(), settled+maxLateCrashes, "crashes after the stability window")
	}
	assert.LessOrEqual(t, c.crashCount(), 2*maxCrashes)
	assert.GreaterOrEqual(t, served, sound*9/10, "sound requests of the route")
}

// Guards against sound requests that are refused, because a VM lost its path to the
// upstreams again and again, which looks there like crashes.
func TestLostPathBlocksSoundContent(t *testing.T) {
	d := &cutDialer{}
	s := newCutSite(t, 2, 1, d)
	s.setFaults("o", platformside.ReplicaFaults{Delay: 200 * time.Millisecond})
	for i := range 3 {
		done := make(chan callResult, 1)
		go func() { done <- s.do(call{id: fmt.Sprint("broken-", i), path: "/once/x", key: key, body: "sound"}) }()
		time.Sleep(100 * time.Millisecond)
		d.cut.Store(true)
		s.closeClientConnections("o")
		assert.Equal(t, 502, (<-done).status)
		for j := range 6 { // the other VM reaches all upstreams
			assert.Equal(t, 200, s.doAt(s.vms[1], call{id: fmt.Sprint("other-", i, j), path: "/once/x", key: key, body: fmt.Sprint(j)}).status)
		}
		d.cut.Store(false)
		time.Sleep(time.Second) // the VMs hear of each other's crashes and contacts
	}
	for vm := range 2 {
		assert.Equal(t, 200, s.doAt(s.vms[vm], call{id: fmt.Sprint("sound-", vm), path: "/once/x", key: key, body: "sound"}).status, "VM %d", vm)
	}
}
