package orders

import (
	"time"

	"github.com/cranberrypier/cranberrypier/internal/platform"
)

// lease is the last known state of the zone's lease.
type lease struct {
	// validUntil is the end of this VM's lease, and heldSince is its start.
	validUntil time.Time
	heldSince  time.Time
	// version is the version of the lease after this VM's last write.
	version platform.Version
	// unchangedSince is when the lease was first seen in its present form, by
	// reads without a gap.
	object         LeaseObject
	unchangedSince time.Time
	lastRead       time.Time
	inProgress     bool
	nextRead       time.Time
	failures       int
}

// holdsLease reports whether this VM holds the lease.
func (s *State) holdsLease(now time.Time) bool { return now.Before(s.lease.validUntil) }

// HoldsLease reports whether this VM holds its zone's lease.
func (s *State) HoldsLease(now time.Time) bool { return s.holdsLease(now) }

func (s *State) pollLease(now time.Time) []Action {
	if !s.candidate && !s.holdsLease(now) {
		return nil
	}
	if s.lease.inProgress || now.Before(s.lease.nextRead) || s.document == nil || len(s.engines) == 0 {
		return nil
	}
	s.lease.inProgress = true
	return []Action{ReadLease{}}
}

func (s *State) leaseRead(now time.Time, m LeaseReadDone) []Action {
	l := &s.lease
	if m.Failed {
		s.scheduleRetry(now)
		return nil
	}
	gap := l.lastRead.IsZero() || now.Sub(l.lastRead) > 2*pollInterval
	if gap || m.Lease != l.object {
		l.unchangedSince = now
	}
	l.object, l.lastRead = m.Lease, now
	own := m.Lease.Holder == s.config.VM && m.Lease.Incarnation == s.config.Incarnation
	if !own {
		l.validUntil = time.Time{}
	}
	if !own && m.Version != 0 && now.Sub(l.unchangedSince) < takeoverTimeout {
		l.inProgress, l.failures = false, 0
		l.nextRead = now.Add(pollInterval - pollInterval/4 + s.jitter(pollInterval/2))
		return nil
	}
	next := LeaseObject{Holder: s.config.VM, Incarnation: s.config.Incarnation, Count: m.Lease.Count + 1}
	return []Action{WriteLease{Lease: next, Base: m.Version}}
}

func (s *State) leaseWritten(now time.Time, m LeaseWriteDone) {
	l := &s.lease
	if m.Failed {
		s.scheduleRetry(now)
		return
	}
	if !s.holdsLease(now) {
		l.heldSince = now
		s.startHolding()
	}
	l.inProgress, l.failures = false, 0
	l.validUntil = m.Sent.Add(LeaseTTL)
	l.version = m.Version
	l.nextRead = now.Add(renewInterval - renewInterval/8 + s.jitter(renewInterval/4))
}

// startHolding discards the state that remains from an earlier lease.
func (s *State) startHolding() {
	clear(s.unassigned)
	s.loadBudget, s.budgetUpdated = 0, time.Time{}
	for _, e := range s.engines {
		e.observed, e.nextObserve = false, time.Time{}
	}
}

func (s *State) scheduleRetry(now time.Time) {
	l := &s.lease
	wait := min(minBackoff<<min(l.failures, 6), maxBackoff)
	l.failures++
	l.inProgress = false
	l.nextRead = now.Add(wait/2 + s.jitter(wait/2))
}
