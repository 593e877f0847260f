package edge_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"github.com/cranberrypier/cranberrypier/internal/fake/platformside"
)

// blockedObject is the object with the records of blocked content.
const blockedKind, blockedName = "blockedcontents", "all"

func deadlyCall(id string) call {
	r := chat(id)
	r.body, r.deadline = "deadly", 2*time.Second
	return r
}

// restartAll stops all VMs and starts others, which know nothing.
func (c *crashingFleet) restartAll(generation int) {
	vms := c.vms
	c.vms = nil
	for _, e := range vms {
		e.stop()
	}
	for i, e := range vms {
		<-e.done
		e.done <- nil // the cleanup waits for it, too
		c.startVM(fmt.Sprintf("vm-%d-%d", generation, i))
	}
}

// Guards against content that crashes upstreams again after all VMs that knew it were
// restarted.
func TestBlockedContentIsForgottenWhenAllVMsRestart(t *testing.T) {
	c := newCrashingFleet(t, 6, 2, platformside.ReplicaFaults{DeadlyBody: "deadly"})
	for i := range 4 {
		c.do(deadlyCall(fmt.Sprint("deadly-", i)))
		time.Sleep(300 * time.Millisecond)
	}
	crashes := c.crashCount()
	assert.Equal(t, 3, crashes)
	assert.Eventually(t, func() bool { _, ok := c.store.Get(blockedKind, blockedName); return ok }, waitTimeout, pollInterval)
	writes := c.store.CallCount("write")
	for restart := range 3 {
		c.restartAll(restart)
		assert.Eventually(t, func() bool {
			return c.doAt(c.vms[1], deadlyCall(fmt.Sprint("again-", restart, time.Now().UnixNano()))).status == 503
		}, waitTimeout, pollInterval)
		assert.Equal(t, 200, c.do(c.prompt(fmt.Sprint("sound-", restart), "aa")).status)
	}
	assert.Equal(t, crashes, c.crashCount(), "no upstream crashes again")
	assert.LessOrEqual(t, c.store.CallCount("write")-writes, 1, "what is stored is not written again")
}

// Guards against content that crashes upstreams again at a VM that has just started, while
// the store does not give the records, because the other VMs tell of it in turn only.
func TestBlockedContentIsUnknownAtAVMThatStarts(t *testing.T) {
	c := newCrashingFleet(t, 6, 2, platformside.ReplicaFaults{DeadlyBody: "deadly"})
	for i := range 4 {
		c.do(deadlyCall(fmt.Sprint("deadly-", i)))
		time.Sleep(300 * time.Millisecond)
	}
	time.Sleep(11 * time.Second) // no longer told as a change
	crashes := c.crashCount()
	c.store.SetFaults(platformside.StoreFaults{RefusedKind: blockedKind})
	for i := range 3 {
		c.startVM(fmt.Sprint("later-", i))
		time.Sleep(300 * time.Millisecond)
		g := c.doAt(c.vms[len(c.vms)-1], deadlyCall(fmt.Sprint("again-", i)))
		assert.Equal(t, 503, g.status)
		assert.Contains(t, g.body, `"code":1110`)
	}
	assert.Equal(t, crashes, c.crashCount(), "no upstream crashes again")
}

// Guards against a VM that reports ready before it has read what is blocked, and lets
// upstreams crash on it meanwhile.
func TestVMIsReadyBeforeItKnowsWhatIsBlocked(t *testing.T) {
	c := newCrashingFleet(t, 6, 1, platformside.ReplicaFaults{DeadlyBody: "deadly"})
	for i := range 4 {
		c.do(deadlyCall(fmt.Sprint("deadly-", i)))
		time.Sleep(300 * time.Millisecond)
	}
	crashes := c.crashCount()
	assert.Eventually(t, func() bool { _, ok := c.store.Get(blockedKind, blockedName); return ok }, waitTimeout, pollInterval)
	c.store.SetFaults(platformside.StoreFaults{DelayedKind: blockedKind, KindDelay: 400 * time.Millisecond})
	c.restartAll(1)
	assert.Equal(t, 503, c.do(deadlyCall("again")).status)
	assert.Equal(t, crashes, c.crashCount(), "no upstream crashes again")
}

// Guards against VMs that stop serving, because the records of blocked content are
// damaged or of another build.
func TestDamagedRecordsOfBlockedContent(t *testing.T) {
	for name, spec := range map[string]any{"damaged": "nonsense", "another build's": map[string]any{"format": 99, "contents": []any{}}} {
		t.Run(name, func(t *testing.T) {
			s := newSite(t)
			s.store.Put(blockedKind, blockedName, spec)
			s.startDefaults()
			assert.Equal(t, 200, s.do(chat("sound")).status)
		})
	}
}
