package orders

import (
	"time"

	"github.com/cranberrypier/cranberrypier/internal/platform"
)

// lease is this VM's knowledge of its zone's lease.
type lease struct {
	// until is the end of the own lease, and since its begin.
	until time.Time
	since time.Time
	// version is the lease's version after the own last write.
	version platform.Version
	// seen is when the lease was first seen as it is, by reads without a gap.
	object   LeaseObject
	seen     time.Time
	lastRead time.Time
	busy     bool
	due      time.Time
	failures int
}

// holds reports whether this VM holds the lease.
func (s *State) holds(now time.Time) bool { return now.Before(s.lease.until) }

// Holds reports whether this VM holds its zone's lease.
func (s *State) HoldsLease(now time.Time) bool { return s.holds(now) }

func (s *State) lookAtLease(now time.Time) []Action {
	if !s.candidate && !s.holds(now) {
		return nil
	}
	if s.lease.busy || now.Before(s.lease.due) || s.document == nil || len(s.engines) == 0 {
		return nil
	}
	s.lease.busy = true
	return []Action{ReadLease{}}
}

func (s *State) leaseRead(now time.Time, m LeaseRead) []Action {
	l := &s.lease
	if m.Failed {
		s.leaseFailed(now)
		return nil
	}
	gap := l.lastRead.IsZero() || now.Sub(l.lastRead) > 2*lookEvery
	if gap || m.Lease != l.object {
		l.seen = now
	}
	l.object, l.lastRead = m.Lease, now
	mine := m.Lease.Holder == s.config.VM && m.Lease.Agent == s.config.Agent
	if !mine {
		l.until = time.Time{}
	}
	if !mine && m.Version != 0 && now.Sub(l.seen) < takeoverAfter {
		l.busy, l.failures = false, 0
		l.due = now.Add(lookEvery - lookEvery/4 + s.jitter(lookEvery/2))
		return nil
	}
	next := LeaseObject{Holder: s.config.VM, Agent: s.config.Agent, Count: m.Lease.Count + 1}
	return []Action{WriteLease{Lease: next, Base: m.Version}}
}

func (s *State) leaseWritten(now time.Time, m LeaseWritten) {
	l := &s.lease
	if m.Failed {
		s.leaseFailed(now)
		return
	}
	if !s.holds(now) {
		l.since = now
		s.begin()
	}
	l.busy, l.failures = false, 0
	l.until = m.Sent.Add(LeaseTTL)
	l.version = m.Version
	l.due = now.Add(renewEvery - renewEvery/8 + s.jitter(renewEvery/4))
}

// begin forgets what an earlier lease has left.
func (s *State) begin() {
	clear(s.dropped)
	s.budget, s.budgetAt = 0, time.Time{}
	for _, e := range s.engines {
		e.known, e.due = false, time.Time{}
	}
}

func (s *State) leaseFailed(now time.Time) {
	l := &s.lease
	wait := min(retryEvery<<min(l.failures, 6), retryMost)
	l.failures++
	l.busy = false
	l.due = now.Add(wait/2 + s.jitter(wait/2))
}
