package orders

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/cranberrypier/cranberrypier/internal/distribution"
	"github.com/cranberrypier/cranberrypier/internal/document"
	"github.com/cranberrypier/cranberrypier/internal/invariant"
	"github.com/cranberrypier/cranberrypier/internal/membership"
)

// State is one VM's part in its zone's orders.
//
// Safety: an order carries the version of the lease's last write as its
// fencing number, which only grows, and is not sent with less than OrderTimeout
// plus Margin left. An engine that checks the number refuses a paused holder's
// late order. One that does not check it may take such an order; it can only
// repeat what was right under the earlier document, the new holder leaves the
// engine alone for a while after a takeover, and corrects what it then finds.
type State struct {
	config   Config
	random   *rand.Rand
	document *document.Document
	lease    lease
	// candidate is true for the first VMs of the zone by rank, so that the
	// calls do not grow with the zone.
	candidate bool
	engines   map[string]*engine
	// dropped holds since which generation a target is no longer wanted at an
	// engine, and from when it may be unloaded.
	dropped map[place]drop
	// silent is when a member was first seen dead without a leave.
	silent map[string]time.Time
	// budget is the number of loads that may start now.
	budget   float64
	budgetAt time.Time
	askAt    time.Time
	// newestAt is when the fleet last said that no VM had a newer document.
	newestAt time.Time
}

// place is one version at one engine.
type place struct{ upstream, target string }

type drop struct {
	generation uint64
	// free is when no run can go on any more; zero while VMs may still start
	// some.
	free time.Time
}

// engine is what the holder knows of an engine.
type engine struct {
	address   string
	fencing   bool
	loaded    []string
	running   int
	known     bool
	observing bool
	ordering  bool
	due       time.Time
	pause     time.Time
}

// New returns a state without a document.
func New(c Config, random *rand.Rand) *State {
	return &State{
		config: c, random: random,
		engines: map[string]*engine{}, dropped: map[place]drop{}, silent: map[string]time.Time{},
	}
}

// Step takes one message and returns what to do.
func (s *State) Step(now time.Time, m Message) []Action {
	var out []Action
	switch m := m.(type) {
	case DocumentSet:
		s.setDocument(m.Document)
	case ViewSet:
		s.setView(m.View)
	case LeaseRead:
		out = s.leaseRead(now, m)
	case LeaseWritten:
		s.leaseWritten(now, m)
	case ObserveDone:
		s.observed(now, m)
	case MembersListed:
		s.fleet(now, m.Members)
	case OrderDone:
		s.ended(now, m)
	case Tick:
	}
	out = append(out, s.lookAtLease(now)...)
	if s.holds(now) {
		out = append(out, s.work(now)...)
	}
	return out
}

func (s *State) setView(v membership.View) {
	list := distribution.Ranked(v)[s.config.Zone]
	list = list[:min(len(list), candidates)]
	s.candidate = slices.ContainsFunc(list, func(m membership.Member) bool { return m.VM == s.config.VM })
}

func (s *State) setDocument(d *document.Document) {
	if s.document != nil && d.Generation != s.document.Generation+1 {
		// A generation that was skipped here may have brought a dropped version
		// back elsewhere.
		clear(s.dropped)
	}
	s.document = d
	seen := map[string]bool{}
	for i := range d.Upstreams {
		u := &d.Upstreams[i]
		if u.Kind != document.Engine || u.Zone != s.config.Zone {
			continue
		}
		seen[u.Name] = true
		e, ok := s.engines[u.Name]
		if !ok {
			e = &engine{}
			s.engines[u.Name] = e
		}
		if e.address != u.Address {
			*e = engine{address: u.Address}
		}
		e.fencing = u.Fencing
	}
	for name := range s.engines {
		if !seen[name] {
			delete(s.engines, name)
		}
	}
	for p := range s.dropped {
		if s.wanted(p) || !seen[p.upstream] {
			delete(s.dropped, p)
		}
	}
}

// work gives the orders and looks that are due.
func (s *State) work(now time.Time) []Action {
	if s.document == nil {
		return nil
	}
	s.refill(now)
	var out []Action
	for _, name := range s.names() {
		e := s.engines[name]
		if !e.observing && !e.ordering && !now.Before(e.due) {
			e.observing = true
			out = append(out, Observe{Upstream: name, Address: e.address})
			continue
		}
		if a, ok := s.order(now, name, e); ok {
			out = append(out, a)
		}
	}
	return append(out, s.ask(now)...)
}

func (s *State) names() []string {
	out := make([]string, 0, len(s.engines))
	for name := range s.engines {
		out = append(out, name)
	}
	slices.Sort(out)
	return out
}

// order picks the next order for an engine; loads come first.
func (s *State) order(now time.Time, name string, e *engine) (Action, bool) {
	if !e.known || e.ordering || e.observing || now.Before(e.pause) || !s.mayOrder(now, e) {
		return nil, false
	}
	op, target := s.difference(now, name, e)
	if target == "" {
		return nil, false
	}
	if op == Load {
		if s.budget < 1 {
			return nil, false
		}
		s.budget--
	}
	until := s.lease.until.Add(-OrderTimeout - LeaseMargin)
	invariant.Check(now.Before(until), OrderAfterLease, "%s orders %s %s at %s", s.config.VM, op, target, name)
	e.ordering = true
	return Order{
		Upstream: name, Address: e.address, Op: op, Target: target,
		Fence: uint64(s.lease.version), NotAfter: until,
	}, true
}

// mayOrder checks the rest of the lease, and the wait after a takeover for an
// engine that does not check fencing numbers.
func (s *State) mayOrder(now time.Time, e *engine) bool {
	if !now.Before(s.lease.until.Add(-OrderTimeout - LeaseMargin)) {
		return false
	}
	return e.fencing || now.Sub(s.lease.since) >= unfencedWait
}

func (s *State) observed(now time.Time, m ObserveDone) {
	e, ok := s.engines[m.Upstream]
	if !ok {
		return
	}
	e.observing = false
	e.due = now.Add(observeEvery - observeEvery/8 + s.jitter(observeEvery/4))
	if m.Failed {
		e.known = false
		return
	}
	e.known, e.loaded, e.running = true, m.Loaded, m.Running
}

// ended looks at the engine again before the next order, whatever came back:
// an order without an answer may have been taken.
func (s *State) ended(now time.Time, m OrderDone) {
	e, ok := s.engines[m.Order.Upstream]
	if !ok {
		return
	}
	e.ordering, e.known = false, false
	e.due = now
	if m.Refused || m.Failed {
		e.pause = now.Add(refusedWait/2 + s.jitter(refusedWait))
	}
	if m.Refused {
		// Another VM has given orders with a higher number: this one's lease is
		// not what it believes.
		s.lease.until = time.Time{}
		s.lease.due = now
	}
}

// refill adds to the budget of loads. It starts empty and never holds more
// than one load, so that a takeover or a pause gives no burst.
func (s *State) refill(now time.Time) {
	if s.budgetAt.IsZero() {
		s.budgetAt = now
	}
	zones := max(1, len(s.document.Zones))
	perSecond := MaxLoadsPerMinute / 60 / float64(zones)
	s.budget = min(1, s.budget+now.Sub(s.budgetAt).Seconds()*perSecond)
	s.budgetAt = now
}

func (s *State) jitter(d time.Duration) time.Duration {
	return time.Duration(s.random.Int64N(int64(d) + 1))
}
