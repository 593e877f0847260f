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

// State is the state machine of one VM for the orders of its zone.
//
// Safety: the fencing number of an order is the version of the lease's last
// write, which only increases. No order is sent with less than OrderTimeout
// plus LeaseMargin left in the lease. An engine that checks the number refuses
// the late order of a holder that was paused. An engine that does not check it
// may execute such an order, which can only repeat what was correct under an
// earlier document. The new holder therefore sends such an engine no orders for
// some time after a takeover, and then corrects its state.
type State struct {
	config   Config
	random   *rand.Rand
	document *document.Document
	lease    lease
	// candidate is true for the first VMs of the zone by rank, so that the
	// number of calls does not grow with the zone.
	candidate bool
	engines   map[string]*engine
	// unassigned contains the targets that are loaded on an engine but not in the
	// document.
	unassigned map[engineTarget]unassignedTarget
	// deadSince is when a member that did not announce its departure was first
	// seen dead.
	deadSince map[string]time.Time
	// loadBudget is the number of loads that may start now.
	loadBudget    float64
	budgetUpdated time.Time
	nextList      time.Time
	// newestConfirmed is the last time at which no VM had a newer document.
	newestConfirmed time.Time
}

// engineTarget is one version on one engine.
type engineTarget struct{ upstream, target string }

type unassignedTarget struct {
	generation uint64
	// unloadAt is when all runs of the target must have ended. It is zero while
	// VMs may still start some.
	unloadAt time.Time
}

// engine is the holder's last known state of an engine.
type engine struct {
	address     string
	fencing     bool
	loaded      []string
	running     int
	observed    bool
	observing   bool
	ordering    bool
	nextObserve time.Time
	pausedUntil time.Time
}

// New returns a state machine without a document.
func New(c Config, random *rand.Rand) *State {
	return &State{
		config: c, random: random,
		engines: map[string]*engine{}, unassigned: map[engineTarget]unassignedTarget{}, deadSince: map[string]time.Time{},
	}
}

// Step applies one message and returns the resulting actions.
func (s *State) Step(now time.Time, m Message) []Action {
	var out []Action
	switch m := m.(type) {
	case DocumentSet:
		s.setDocument(m.Document)
	case ViewSet:
		s.setView(m.View)
	case LeaseReadDone:
		out = s.leaseRead(now, m)
	case LeaseWriteDone:
		s.leaseWritten(now, m)
	case ObserveDone:
		s.observeDone(now, m)
	case ListMembersDone:
		s.membersListed(now, m.Members)
	case OrderDone:
		s.orderDone(now, m)
	case Tick:
	}
	out = append(out, s.pollLease(now)...)
	if s.holdsLease(now) {
		out = append(out, s.engineActions(now)...)
	}
	return out
}

func (s *State) setView(v membership.View) {
	list := distribution.Ranked(v)[s.config.Zone]
	list = list[:min(len(list), maxCandidates)]
	s.candidate = slices.ContainsFunc(list, func(m membership.Member) bool { return m.VM == s.config.VM })
}

func (s *State) setDocument(d *document.Document) {
	if s.document != nil && d.Generation != s.document.Generation+1 {
		// In a generation that this VM skipped, an unassigned version may have
		// been assigned again, so that other VMs have used it.
		clear(s.unassigned)
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
	for p := range s.unassigned {
		if s.assigned(p) || !seen[p.upstream] {
			delete(s.unassigned, p)
		}
	}
}

// engineActions returns the orders and the queries of engines that are due.
func (s *State) engineActions(now time.Time) []Action {
	if s.document == nil {
		return nil
	}
	s.refillBudget(now)
	var out []Action
	for _, name := range s.engineNames() {
		e := s.engines[name]
		if !e.observing && !e.ordering && !now.Before(e.nextObserve) {
			e.observing = true
			out = append(out, Observe{Upstream: name, Address: e.address})
			continue
		}
		if a, ok := s.nextOrder(now, name, e); ok {
			out = append(out, a)
		}
	}
	return append(out, s.listMembers(now)...)
}

func (s *State) engineNames() []string {
	out := make([]string, 0, len(s.engines))
	for name := range s.engines {
		out = append(out, name)
	}
	slices.Sort(out)
	return out
}

// nextOrder returns the next order for an engine. Loads come first.
func (s *State) nextOrder(now time.Time, name string, e *engine) (Action, bool) {
	if !e.observed || e.ordering || e.observing || now.Before(e.pausedUntil) || !s.mayOrder(now, e) {
		return nil, false
	}
	op, target := s.difference(now, name, e)
	if target == "" {
		return nil, false
	}
	if op == OpLoad {
		if s.loadBudget < 1 {
			return nil, false
		}
		s.loadBudget--
	}
	notAfter := s.lease.validUntil.Add(-OrderTimeout - LeaseMargin)
	invariant.Check(now.Before(notAfter), OrderAfterLease, "%s orders %s %s at %s", s.config.VM, op, target, name)
	e.ordering = true
	return Order{
		Upstream: name, Address: e.address, Op: op, Target: target,
		Fence: uint64(s.lease.version), NotAfter: notAfter,
	}, true
}

// mayOrder checks the time left in the lease, and the delay after a takeover
// for an engine that does not check fencing numbers.
func (s *State) mayOrder(now time.Time, e *engine) bool {
	if !now.Before(s.lease.validUntil.Add(-OrderTimeout - LeaseMargin)) {
		return false
	}
	return e.fencing || now.Sub(s.lease.heldSince) >= unfencedDelay
}

func (s *State) observeDone(now time.Time, m ObserveDone) {
	e, ok := s.engines[m.Upstream]
	if !ok {
		return
	}
	e.observing = false
	e.nextObserve = now.Add(observeInterval - observeInterval/8 + s.jitter(observeInterval/4))
	if m.Failed {
		e.observed = false
		return
	}
	e.observed, e.loaded, e.running = true, m.Loaded, m.Running
}

// orderDone schedules a query of the engine before the next order, whatever the
// result: an order without a response may have been executed.
func (s *State) orderDone(now time.Time, m OrderDone) {
	e, ok := s.engines[m.Order.Upstream]
	if !ok {
		return
	}
	e.ordering, e.observed = false, false
	e.nextObserve = now
	if m.Refused || m.Failed {
		e.pausedUntil = now.Add(failureCooldown/2 + s.jitter(failureCooldown))
	}
	if m.Refused {
		// Another VM has sent orders with a higher number, so this VM no longer
		// holds the lease.
		s.lease.validUntil = time.Time{}
		s.lease.nextRead = now
	}
}

// refillBudget adds to the budget of loads. The budget starts empty and never
// exceeds one load, so that a takeover or a pause causes no burst.
func (s *State) refillBudget(now time.Time) {
	if s.budgetUpdated.IsZero() {
		s.budgetUpdated = now
	}
	zones := max(1, len(s.document.Zones))
	perSecond := MaxLoadsPerMinute / 60 / float64(zones)
	s.loadBudget = min(1, s.loadBudget+now.Sub(s.budgetUpdated).Seconds()*perSecond)
	s.budgetUpdated = now
}

func (s *State) jitter(d time.Duration) time.Duration {
	return time.Duration(s.random.Int64N(int64(d) + 1))
}
