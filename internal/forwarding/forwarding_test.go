package forwarding

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

var start = time.Date(2026, 1, 2, 3, 4, 5, 0, time.UTC)

func report(name, zone string) Report {
	return Report{VM: VM{Name: name, Address: name + ":1", Zone: zone}}
}

// newCore returns a core in zone a of region r, with two VMs in each of the zones a and
// b of region r and one in zone c of region s.
func newCore() *Core {
	c := New("a", map[string]string{"a": "r", "b": "r", "c": "s"})
	for _, r := range []Report{report("a1", "a"), report("a2", "a"), report("b1", "b"), report("b2", "b"), report("c1", "c")} {
		c.Record(start, r)
	}
	return c
}

// names returns the VMs that a request may go to.
func names(c *Core, now time.Time, q Query) []string {
	out := []string{}
	for _, p := range c.candidates(now, q) {
		out = append(out, p.Name)
	}
	return out
}

func TestCandidates(t *testing.T) {
	for _, tt := range []struct {
		name   string
		change func(c *Core)
		query  Query
		after  time.Duration
		want   []string
	}{
		{"own zone", func(*Core) {}, Query{Service: "x"}, 0, []string{"a1", "a2"}},
		{"half of the zone is enough", func(c *Core) { c.Unreachable(start, "a1") }, Query{Service: "x"}, 0, []string{"a2"}},
		{"few in the zone", func(c *Core) {
			c.Record(start, report("a3", "a"))
			c.Unreachable(start, "a1")
			c.Refused(start, "a3", "x")
		}, Query{Service: "x"}, 0, []string{"a2", "b1", "b2"}},
		{"another service", func(c *Core) { c.Refused(start, "a1", "y") }, Query{Service: "x"}, 0, []string{"a1", "a2"}},
		{"whole zone", func(c *Core) {
			for _, name := range []string{"a1", "a2"} {
				r := report(name, "a")
				r.Unreachable = []string{"w", "x"}
				c.Record(start, r)
			}
		}, Query{Service: "x"}, 0, []string{"b1", "b2"}},
		{"stopping", func(c *Core) {
			r := report("a2", "a")
			r.Stopping = true
			c.Record(start, r)
		}, Query{Service: "x", Exclude: []string{"a1"}}, 0, []string{"b1", "b2"}},
		{"avoided for a time", func(c *Core) { c.Unreachable(start, "a1") }, Query{Service: "x"}, avoidInterval, []string{"a1", "a2"}},
		{"home in another region", func(*Core) {}, Query{Service: "x", Regions: [][]string{{"s"}, nil}}, 0, []string{"c1"}},
		{"homes that contradict", func(*Core) {}, Query{Service: "x", Regions: [][]string{{"s"}, {"r"}}}, 0, []string{}},
		{"not heard of for long", func(*Core) {}, Query{Service: "x"}, maxReportAge + time.Millisecond, []string{}},
	} {
		t.Run(tt.name, func(t *testing.T) {
			c := newCore()
			tt.change(c)
			assert.Equal(t, tt.want, names(c, start.Add(tt.after), tt.query))
		})
	}
}

// Guards against few VMs that take the requests of all others, although as many could.
func TestForwardedRequestsPileUp(t *testing.T) {
	const perVM = 10
	for _, vms := range []int{1, 2, 7, 60, 300} {
		c, random := New("a", nil), rand.New(rand.NewPCG(1, uint64(vms)))
		for i := range vms {
			c.Record(start, report(fmt.Sprintf("v%03d", i), "a"))
		}
		for range perVM * vms {
			_, ok := c.Choose(start, Query{Service: "x", Draw: random.Uint64()})
			assert.True(t, ok)
		}
		total := 0
		for name, p := range c.peers {
			total += p.running
			assert.LessOrEqual(t, p.running, 2*perVM, "%s of %d", name, vms)
			for range perVM * vms {
				c.Done(name)
			}
			assert.Zero(t, p.running)
		}
		assert.Equal(t, perVM*vms, total)
	}
}

func TestVMsThatLeftAreForgotten(t *testing.T) {
	c := newCore()
	vm, ok := c.Choose(start, Query{Service: "x", Exclude: []string{"a2"}})
	assert.True(t, ok)
	assert.Equal(t, "a1", vm.Name)
	c.Retain(nil)
	assert.Len(t, c.peers, 1, "the one with a request")
	c.Done("a1")
	c.Retain(nil)
	assert.Empty(t, c.peers)
}

func TestReach(t *testing.T) {
	r := NewReach()
	assert.False(t, r.Failed(start, "x", "u1", 3))
	assert.False(t, r.Failed(start, "x", "u1", 3), "the same upstream")
	assert.False(t, r.Unreachable("x"))
	assert.True(t, r.Failed(start.Add(time.Second), "x", "u2", 3))
	assert.False(t, r.Failed(start.Add(time.Second), "x", "u3", 3), "it was unreachable already")
	assert.True(t, r.Failed(start, "y", "v1", 1), "the only upstream")
	assert.Equal(t, []string{"x", "y"}, r.UnreachableServices())
	assert.False(t, r.Contact("x", start.Add(-time.Millisecond)), "a connection from before the cut")
	assert.True(t, r.Unreachable("x"))
	assert.True(t, r.Contact("x", start.Add(2*time.Second)))
	assert.False(t, r.Unreachable("x"))
	r.Retain(func(name string) bool { return name != "y" })
	assert.Empty(t, r.UnreachableServices())
}

// Guards against single failures that add up over a long time without traffic.
func TestOldFailuresMakeServiceUnreachable(t *testing.T) {
	r := NewReach()
	assert.False(t, r.Failed(start, "x", "u1", 3))
	assert.False(t, r.Failed(start.Add(maxFailureAge+time.Second), "x", "u2", 3))
	assert.False(t, r.Unreachable("x"))
	assert.True(t, r.Exhausted("x"))
	assert.False(t, r.Exhausted("z"), "nothing failed")
}

func TestReachedElsewhere(t *testing.T) {
	now := time.Now()
	c := New("a", nil)
	assert.False(t, c.ReachedElsewhere(now, "s"), "no other VM is known")
	c.Record(now, Report{VM: VM{Name: "vm-2"}, Unreachable: []string{"s"}})
	assert.False(t, c.ReachedElsewhere(now, "s"))
	c.Record(now, Report{VM: VM{Name: "vm-3"}, Unreachable: []string{"other"}})
	assert.True(t, c.ReachedElsewhere(now, "s"))
	assert.False(t, c.ReachedElsewhere(now.Add(maxReportAge+time.Second), "s"), "the reports are too old")
}
