package objectstore

import (
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/cranberrypier/cranberrypier/internal/platform"
	"github.com/cranberrypier/cranberrypier/internal/platform/memory"
)

// Counters is the body of GET /counters.
type Counters struct {
	// Calls is the number of calls per verb and kind. The keys are "verb kind".
	Calls map[string]int `json:"calls"`
	// Busy is the number of calls rejected by the rate limits.
	Busy int `json:"busy"`
	// Writes and Reads are totals. PeakWrites and PeakReads are the maximum
	// numbers within one second of the wall clock. All four include rejected calls.
	Writes     int    `json:"writes"`
	Reads      int    `json:"reads"`
	PeakWrites int    `json:"peak_writes"`
	PeakReads  int    `json:"peak_reads"`
	Revision   uint64 `json:"revision"`
}

// counters counts calls. It is safe for concurrent use.
type counters struct {
	mu                            sync.Mutex
	total                         Counters
	currentSecond                 int64
	writesInSecond, readsInSecond int
}

func (c *counters) count(now time.Time, op memory.Op, admitted bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.total.Calls == nil {
		c.total.Calls = map[string]int{}
	}
	c.total.Calls[string(op.Verb)+" "+op.Kind]++
	if !admitted {
		c.total.Busy++
	}
	if now.Unix() != c.currentSecond {
		c.currentSecond, c.writesInSecond, c.readsInSecond = now.Unix(), 0, 0
	}
	if op.Verb.Writes() {
		c.total.Writes++
		c.writesInSecond++
		c.total.PeakWrites = max(c.total.PeakWrites, c.writesInSecond)
		return
	}
	c.total.Reads++
	c.readsInSecond++
	c.total.PeakReads = max(c.total.PeakReads, c.readsInSecond)
}

func (c *counters) report(revision uint64) Counters {
	c.mu.Lock()
	defer c.mu.Unlock()
	out := c.total
	out.Revision = revision
	out.Calls = maps.Clone(c.total.Calls)
	return out
}

// vmHistory records the lists of VMs over time, so that an old list can be
// served. It is safe for concurrent use.
type vmHistory struct {
	mu    sync.Mutex
	lists []vmList
}

type vmList struct {
	validFrom time.Time
	vms       []platform.VM
}

func (h *vmHistory) set(now time.Time, vms []platform.VM) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.lists = append(h.lists, vmList{now, slices.Clone(vms)})
}

// at returns the list that was valid at t, or the first list if t is before it.
func (h *vmHistory) at(t time.Time) []platform.VM {
	h.mu.Lock()
	defer h.mu.Unlock()
	vms := h.lists[0].vms
	for _, l := range h.lists {
		if !l.validFrom.After(t) {
			vms = l.vms
		}
	}
	return vms
}
