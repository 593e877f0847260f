package edge_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"github.com/cranberrypier/cranberrypier/internal/fake/platformside"
)

// Guards against a request that goes on crashing upstreams, because two of them that
// refuse connections look to a VM like the loss of its own links.
func TestCrashesInARowAreTakenForLostLinks(t *testing.T) {
	for _, vms := range []int{1, 3} {
		t.Run(fmt.Sprint(vms, "VMs"), func(t *testing.T) {
			c := newCrashingFleet(t, 9, vms, platformside.ReplicaFaults{DeadlyBody: "deadly"})
			for i := range 12 {
				r := chat(fmt.Sprint("deadly-", i))
				r.body, r.deadline = "deadly", 2*time.Second
				c.doAt(c.vms[i%vms], r)
				time.Sleep(300 * time.Millisecond) // the VMs hear of each other's crashes
			}
			assert.Equal(t, 3, c.crashCount(), "one request after the other crashes no more than it takes to block them")
		})
	}
}

// Guards against a request that goes on crashing upstreams, because no crash counts
// while all of them are down.
func TestLossOfAllUpstreamsHidesCrashes(t *testing.T) {
	c := newCrashingFleet(t, 2, 2, platformside.ReplicaFaults{DeadlyBody: "deadly"})
	for i := range 10 {
		r := chat(fmt.Sprint("deadly-", i))
		r.body, r.deadline = "deadly", 2*time.Second
		c.doAt(c.vms[i%2], r)
		time.Sleep(400 * time.Millisecond)
	}
	assert.LessOrEqual(t, c.crashCount(), 4, "three, or two pairs lost together")
}

// Guards against sound content that is blocked, because its streams are cut short by
// crashes that other requests cause.
func TestStreamsThatCrashesCutAreTakenForTheirCause(t *testing.T) {
	c := newCrashingFleet(t, 6, 1, platformside.ReplicaFaults{})
	for _, p := range c.replicas {
		p.Events, p.EventInterval = 400, 10*time.Millisecond
	}
	done := make(chan callResult, 1)
	go func() {
		r := c.prompt("long", "popular")
		r.deadline = 8 * time.Second
		done <- c.do(r)
	}()
	for range 3 {
		time.Sleep(300 * time.Millisecond) // some events arrive
		for _, run := range c.runs("long") {
			c.replicas[run.Replica].Crash()
		}
	}
	time.Sleep(100 * time.Millisecond)
	again := c.prompt("again", "popular")
	again.body = "prompt of long"
	assert.Equal(t, 200, c.do(again).status)
	<-done // cut short: all of its attempts have run
}
