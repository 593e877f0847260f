package seats

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/cranberrypier/cranberrypier/internal/invariant"
	"github.com/cranberrypier/cranberrypier/internal/platform"
)

// State is the state machine of one VM for the seats of its zone.
//
// Safety: a VM uses a seat until LeaseTTL after it sent its last successful
// renewal. Another VM takes the seat only after it has seen the seat's count
// unchanged for TakeoverTimeout, with uninterrupted reads of the table, and thus
// at least MaxRunTime after the holder's last new run. While no VM of the zone
// can reach the store, no VM can take a seat. Holders then extend their seats
// in short steps, as long as each VM that the holder knew at its last renewal
// is alive and reports that it cannot reach the store, and the holder's own
// process was not paused. This does not cover a VM of which the holder never
// received a message.
type State struct {
	config  Config
	random  *rand.Rand
	members []ZoneVM
	table   Table
	version platform.Version
	// unchangedSince is when each seat's count was first seen at its present
	// value, within a period of uninterrupted reads.
	unchangedSince [PerZone]time.Time
	lastRead       time.Time
	// owned are the seats of the last successful renewal, valid until ownedUntil.
	// They include seats that were retired since then, which Held omits.
	owned          []int
	ownedUntil     time.Time
	renewedAt      time.Time
	knownAtRenewal []string
	extended       bool
	// retireAt contains the seats above the quota, with the time at which all
	// runs that they allowed have ended and they can be given back.
	retireAt map[int]time.Time
	// callInProgress is true during a read and the write that follows it.
	callInProgress bool
	nextRead       time.Time
	failures       int
	leaving        bool
	// quotaSince is when this VM's quota last rose from zero.
	quotaSince   time.Time
	pendingOwned []int
	lastStep     time.Time
	published    Held
}

// New returns a state machine that holds no seats.
func New(c Config, random *rand.Rand) *State {
	return &State{config: c, random: random, retireAt: map[int]time.Time{}}
}

// Step applies one message and returns the resulting actions.
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
	if !s.callInProgress && !now.Before(s.nextRead) {
		s.callInProgress = true
		out = append(out, Read{})
	}
	return s.publish(now, out)
}

// detectPause prevents extensions until the next renewal after the process was
// paused, since its membership view may be stale.
func (s *State) detectPause(now time.Time) {
	if !s.lastStep.IsZero() && now.Sub(s.lastStep) > pauseThreshold {
		s.knownAtRenewal = nil
	}
	s.lastStep = now
}

// setMembers schedules an early read of the table when this VM's quota has
// grown.
func (s *State) setMembers(now time.Time, m Members) {
	before := s.quota()
	s.members = slices.Clone(m.List)
	s.restartObservation()
	if s.quota() <= before {
		return
	}
	if before == 0 {
		s.quotaSince = now
	}
	// VMs that start at the same time must see each other before they divide the
	// seats. A VM that took too many would have to leave them unused until it
	// can give them back.
	if earliest := later(now, s.quotaSince.Add(settleDelay)).Add(s.jitter(minBackoff)); earliest.Before(s.nextRead) || before == 0 {
		s.nextRead = earliest
	}
}

// restartObservation discards how long seats have been unchanged whenever this
// VM reports that it cannot reach the store. A VM that takes over a seat has thus
// reported for the whole TakeoverTimeout that it reaches the store, and a holder
// that received such a report no longer extends its seats.
func (s *State) restartObservation() {
	for _, n := range s.members {
		if n.VM == s.config.VM && !n.ReachesStore {
			s.lastRead = time.Time{}
		}
	}
}

// publish emits the held seats when they have changed.
func (s *State) publish(now time.Time, out []Action) []Action {
	held := s.Held(now)
	if slices.Equal(held.Seats, s.published.Seats) && held.NotAfter.Equal(s.published.NotAfter) {
		return out
	}
	s.published = held
	return append(out, HoldSeats{Held: held})
}

// Held returns the seats that may be used for new runs at the given time.
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
	invariant.Check(s.extended || s.ownedUntil.Sub(s.renewedAt) <= LeaseTTL, SeatOverdue,
		"%s holds %v until %v, renewed at %v", s.config.VM, list, s.ownedUntil, s.renewedAt)
	return Held{Seats: list, NotAfter: s.ownedUntil}
}

// extend extends the seats while the store is unavailable.
func (s *State) extend(now time.Time) {
	if len(s.owned) == 0 || s.ownedUntil.Sub(now) > extensionTTL/2 || now.Sub(s.renewedAt) > maxTimeSinceRenewal {
		return
	}
	// An extension directly follows the lease or another extension.
	if !now.Before(s.ownedUntil) || !s.storeDownForAll() {
		return
	}
	s.extended = true
	s.ownedUntil = now.Add(extensionTTL)
}

// storeDownForAll reports whether no VM can reach the store: each VM known at
// the last renewal has announced its departure, or is alive and reports that it
// cannot reach the store, and no other live VM reports that it can. A VM that was
// already suspect or dead at the last renewal counts as known, since it may be
// unreachable from this VM only and still reach the store.
func (s *State) storeDownForAll() bool {
	if len(s.knownAtRenewal) == 0 {
		return false
	}
	for _, vm := range s.knownAtRenewal {
		i := slices.IndexFunc(s.members, func(n ZoneVM) bool { return n.VM == vm })
		if i < 0 || !s.members[i].Left && (!s.members[i].Alive || s.members[i].ReachesStore) {
			return false
		}
	}
	return !slices.ContainsFunc(s.members, func(n ZoneVM) bool { return n.Alive && n.ReachesStore })
}

// readDone stores the table and decides what to write.
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
		s.callInProgress = false
		s.failures = 0
		s.nextRead = now.Add(pollInterval - pollInterval/4 + s.jitter(pollInterval/2))
		return nil
	}
	s.pendingOwned = owned
	return []Action{Write{Table: next, Base: m.Version}}
}

// writeDone handles the result of a write.
func (s *State) writeDone(now time.Time, m WriteDone) {
	if m.Conflict {
		// Another VM wrote first. Reading again at once shows its changes.
		s.callInProgress = false
		s.nextRead = now.Add(s.jitter(minBackoff / 4))
		return
	}
	if m.Failed {
		s.scheduleRetry(now)
		return
	}
	s.callInProgress = false
	s.failures = 0
	s.owned = s.pendingOwned
	s.renewedAt = m.Sent
	s.ownedUntil = m.Sent.Add(LeaseTTL)
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

// scheduleRetry schedules the next read. A failed write may have been applied,
// which that read shows.
func (s *State) scheduleRetry(now time.Time) {
	limit := maxBackoff
	if s.quota() == 0 && len(s.owned) == 0 {
		limit = 2 * pollInterval
	}
	wait := min(minBackoff<<min(s.failures, 8), limit)
	s.failures++
	s.callInProgress = false
	s.nextRead = now.Add(wait/2 + s.jitter(wait/2))
}

func (s *State) jitter(d time.Duration) time.Duration {
	return time.Duration(s.random.Int64N(int64(d) + 1))
}
