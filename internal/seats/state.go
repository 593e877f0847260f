package seats

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/cranberrypier/cranberrypier/internal/invariant"
	"github.com/cranberrypier/cranberrypier/internal/platform"
)

// State is one VM's part in the seats of its zone.
//
// Safety: a VM uses a seat until Lease after the sending of its last renewal
// that succeeded. Another VM takes the seat only after it has seen the seat's
// count unchanged for TakeoverAfter while it could read the table all that
// time, hence at least LongestRun after the holder's last new run. While no VM
// of the zone reaches the platform nobody can take a seat, so holders keep
// theirs step by step, as long as each VM that the holder knew at its last
// renewal is heard and says that the platform is down, and the holder's own
// process has not stood still. What this does not cover is a VM that the
// holder has never heard of.
type State struct {
	config  Config
	random  *rand.Rand
	members []Neighbour
	table   Table
	version platform.Version
	// seen is when each seat's count was first seen as it is, within a time of
	// uninterrupted reading that began no later than that.
	unchangedSince [PerZone]time.Time
	lastRead       time.Time
	// mine are the seats of the last successful renewal, and until its end.
	owned          []int
	ownedUntil     time.Time
	renewedAt      time.Time
	knownAtRenewal []string
	extended       bool
	// retiring holds seats that are given back once no run can go on.
	retireAt   map[int]time.Time
	inProgress bool
	nextRead   time.Time
	failures   int
	leaving    bool
	// takes is when this VM's part last grew from nothing.
	quotaSince   time.Time
	pendingOwned []int
	lastStep     time.Time
	published    Held
}

// New returns a state that holds nothing.
func New(c Config, random *rand.Rand) *State {
	return &State{config: c, random: random, retireAt: map[int]time.Time{}}
}

// Step takes one message and returns what to do.
func (s *State) Step(now time.Time, m Message) []Action {
	s.detectPause(now)
	var out []Action
	switch m := m.(type) {
	case Members:
		s.setMembers(now, m)
	case ReadDone:
		out = s.readDone(now, m)
	case WriteDone:
		s.writeDone(now, m)
	case Suspended:
		s.owned, s.knownAtRenewal, s.lastRead = nil, nil, time.Time{}
	case Release:
		s.leaving = true
		s.owned = nil
		s.nextRead = now
	case Tick:
	}
	s.extend(now)
	if !s.inProgress && !now.Before(s.nextRead) {
		s.inProgress = true
		out = append(out, Read{})
	}
	return s.publish(now, out)
}

// wake ends an extension after the process stood still, since what it knew of
// its neighbours is old.
func (s *State) detectPause(now time.Time) {
	if !s.lastStep.IsZero() && now.Sub(s.lastStep) > pauseThreshold {
		s.knownAtRenewal = nil
	}
	s.lastStep = now
}

// setMembers looks at the table soon when this VM's part has grown.
func (s *State) setMembers(now time.Time, m Members) {
	before := s.quota()
	s.members = slices.Clone(m.List)
	s.checkReachability()
	if s.quota() <= before {
		return
	}
	if before == 0 {
		s.quotaSince = now
	}
	// VMs that start together see each other before they divide the seats:
	// one that took too many would leave them unused until it has given back.
	if earliest := later(now, s.quotaSince.Add(settleDelay)).Add(s.jitter(minBackoff)); earliest.Before(s.nextRead) || before == 0 {
		s.nextRead = earliest
	}
}

// checkSight forgets since when seats were seen unchanged whenever this VM has
// told others that it does not reach the platform. A VM that takes a seat has
// thus said for all of TakeoverAfter that it reaches the platform, and a holder
// that hears it has stopped extending.
func (s *State) checkReachability() {
	for _, n := range s.members {
		if n.VM == s.config.VM && !n.Platform {
			s.lastRead = time.Time{}
		}
	}
}

// tell reports the held seats when they have changed.
func (s *State) publish(now time.Time, out []Action) []Action {
	held := s.Held(now)
	if slices.Equal(held.Seats, s.published.Seats) && held.NotAfter.Equal(s.published.NotAfter) {
		return out
	}
	s.published = held
	return append(out, Hold{Held: held})
}

// Held returns the seats that may be used for new runs at this moment.
func (s *State) Held(now time.Time) Held {
	if !now.Before(s.ownedUntil) {
		return Held{}
	}
	var list []int
	for _, seat := range s.owned {
		if _, ok := s.retireAt[seat]; !ok {
			list = append(list, seat)
		}
	}
	if len(list) == 0 {
		return Held{}
	}
	invariant.Check(s.extended || s.ownedUntil.Sub(s.renewedAt) <= Lease, SeatOverdue,
		"%s holds %v until %v, renewed at %v", s.config.VM, list, s.ownedUntil, s.renewedAt)
	return Held{Seats: list, NotAfter: s.ownedUntil}
}

// extend keeps the seats without the platform.
func (s *State) extend(now time.Time) {
	if len(s.owned) == 0 || s.ownedUntil.Sub(now) > extensionTTL/2 || now.Sub(s.renewedAt) > maxExtension {
		return
	}
	// An extension follows the lease or another extension without a gap.
	if !now.Before(s.ownedUntil) || !s.storeDownForAll() {
		return
	}
	s.extended = true
	s.ownedUntil = now.Add(extensionTTL)
}

// allDown reports whether each VM known at the last renewal is heard and does
// not reach the platform. A VM that was already silent then counts too: it may
// be cut off from this one only.
func (s *State) storeDownForAll() bool {
	if len(s.knownAtRenewal) == 0 {
		return false
	}
	for _, vm := range s.knownAtRenewal {
		i := slices.IndexFunc(s.members, func(n Neighbour) bool { return n.VM == vm })
		if i < 0 || !s.members[i].Left && (!s.members[i].Heard || s.members[i].Platform) {
			return false
		}
	}
	return !slices.ContainsFunc(s.members, func(n Neighbour) bool { return n.Heard && n.Platform })
}

// read takes the table and decides what to write.
func (s *State) readDone(now time.Time, m ReadDone) []Action {
	if m.Failed {
		s.scheduleRetry(now)
		return nil
	}
	s.trackUnchanged(now, m.Table)
	s.table, s.version = m.Table, m.Version
	s.owned = slices.DeleteFunc(s.owned, func(i int) bool { return m.Table.Seats[i].Holder != s.config.VM })
	next, owned := s.nextTable(now)
	if next == s.table {
		s.inProgress = false
		s.failures = 0
		s.nextRead = now.Add(pollInterval - pollInterval/4 + s.jitter(pollInterval/2))
		return nil
	}
	s.pendingOwned = owned
	return []Action{Write{Table: next, Base: m.Version}}
}

// written takes the end of a write.
func (s *State) writeDone(now time.Time, m WriteDone) {
	if m.Conflict {
		// Another VM was faster; reading again at once settles it.
		s.inProgress = false
		s.nextRead = now.Add(s.jitter(minBackoff / 4))
		return
	}
	if m.Failed {
		s.scheduleRetry(now)
		return
	}
	s.inProgress = false
	s.failures = 0
	s.owned = s.pendingOwned
	s.renewedAt = m.Sent
	s.ownedUntil = m.Sent.Add(Lease)
	s.extended = false
	s.knownAtRenewal = s.knownAtRenewal[:0]
	for _, n := range s.members {
		if !n.Left {
			s.knownAtRenewal = append(s.knownAtRenewal, n.VM)
		}
	}
	for _, seat := range s.table.Seats {
		if seat.Holder != "" {
			s.knownAtRenewal = append(s.knownAtRenewal, seat.Holder)
		}
	}
	s.nextRead = now.Add(renewInterval - renewInterval/8 + s.jitter(renewInterval/4))
}

// fail retries later. Nothing is known of a write without an answer; the next
// read shows it.
func (s *State) scheduleRetry(now time.Time) {
	limit := maxBackoff
	if s.quota() == 0 && len(s.owned) == 0 {
		limit = 2 * pollInterval
	}
	wait := min(minBackoff<<min(s.failures, 8), limit)
	s.failures++
	s.inProgress = false
	s.nextRead = now.Add(wait/2 + s.jitter(wait/2))
}

func (s *State) jitter(d time.Duration) time.Duration {
	return time.Duration(s.random.Int64N(int64(d) + 1))
}
