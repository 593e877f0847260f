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
	members []ZoneVM
	table   Table
	version platform.Version
	// seen is when each seat's count was first seen as it is, within a time of
	// uninterrupted reading that began no later than that.
	seen     [PerZone]time.Time
	lastRead time.Time
	// mine are the seats of the last successful renewal, and until its end.
	mine     []int
	until    time.Time
	renewed  time.Time
	witness  []string
	extended bool
	// retiring holds seats that are given back once no run can go on.
	retiring map[int]time.Time
	busy     bool
	due      time.Time
	failures int
	leaving  bool
	// takes is when this VM's part last grew from nothing.
	takes   time.Time
	pending []int
	last    time.Time
	told    Held
}

// New returns a state that holds nothing.
func New(c Config, random *rand.Rand) *State {
	return &State{config: c, random: random, retiring: map[int]time.Time{}}
}

// Step takes one message and returns what to do.
func (s *State) Step(now time.Time, m Message) []Action {
	s.wake(now)
	var out []Action
	switch m := m.(type) {
	case Members:
		s.setMembers(now, m)
	case ReadDone:
		out = s.read(now, m)
	case WriteDone:
		s.written(now, m)
	case Suspended:
		s.mine, s.witness, s.lastRead = nil, nil, time.Time{}
	case Release:
		s.leaving = true
		s.mine = nil
		s.due = now
	case Tick:
	}
	s.extend(now)
	if !s.busy && !now.Before(s.due) {
		s.busy = true
		out = append(out, Read{})
	}
	return s.tell(now, out)
}

// wake ends an extension after the process stood still, since what it knew of
// its neighbours is old.
func (s *State) wake(now time.Time) {
	if !s.last.IsZero() && now.Sub(s.last) > stall {
		s.witness = nil
	}
	s.last = now
}

// setMembers looks at the table soon when this VM's part has grown.
func (s *State) setMembers(now time.Time, m Members) {
	before := s.quota()
	s.members = slices.Clone(m.List)
	s.checkSight()
	if s.quota() <= before {
		return
	}
	if before == 0 {
		s.takes = now
	}
	// VMs that start together see each other before they divide the seats:
	// one that took too many would leave them unused until it has given back.
	if soon := later(now, s.takes.Add(settle)).Add(s.jitter(retryEvery)); soon.Before(s.due) || before == 0 {
		s.due = soon
	}
}

// checkSight forgets since when seats were seen unchanged whenever this VM has
// told others that it does not reach the platform. A VM that takes a seat has
// thus said for all of TakeoverAfter that it reaches the platform, and a holder
// that hears it has stopped extending.
func (s *State) checkSight() {
	for _, n := range s.members {
		if n.VM == s.config.VM && !n.ReachesStore {
			s.lastRead = time.Time{}
		}
	}
}

// tell reports the held seats when they have changed.
func (s *State) tell(now time.Time, out []Action) []Action {
	held := s.Held(now)
	if slices.Equal(held.Seats, s.told.Seats) && held.NotAfter.Equal(s.told.NotAfter) {
		return out
	}
	s.told = held
	return append(out, HoldSeats{Held: held})
}

// Held returns the seats that may be used for new runs at this moment.
func (s *State) Held(now time.Time) Held {
	if !now.Before(s.until) {
		return Held{}
	}
	var list []int
	for _, seat := range s.mine {
		if _, ok := s.retiring[seat]; !ok {
			list = append(list, seat)
		}
	}
	if len(list) == 0 {
		return Held{}
	}
	invariant.Check(s.extended || s.until.Sub(s.renewed) <= LeaseTTL, SeatOverdue,
		"%s holds %v until %v, renewed at %v", s.config.VM, list, s.until, s.renewed)
	return Held{Seats: list, NotAfter: s.until}
}

// extend keeps the seats without the platform.
func (s *State) extend(now time.Time) {
	if len(s.mine) == 0 || s.until.Sub(now) > extendStep/2 || now.Sub(s.renewed) > extendMost {
		return
	}
	// An extension follows the lease or another extension without a gap.
	if !now.Before(s.until) || !s.allDown() {
		return
	}
	s.extended = true
	s.until = now.Add(extendStep)
}

// allDown reports whether each VM known at the last renewal is heard and does
// not reach the platform. A VM that was already silent then counts too: it may
// be cut off from this one only.
func (s *State) allDown() bool {
	if len(s.witness) == 0 {
		return false
	}
	for _, vm := range s.witness {
		i := slices.IndexFunc(s.members, func(n ZoneVM) bool { return n.VM == vm })
		if i < 0 || !s.members[i].Left && (!s.members[i].Alive || s.members[i].ReachesStore) {
			return false
		}
	}
	return !slices.ContainsFunc(s.members, func(n ZoneVM) bool { return n.Alive && n.ReachesStore })
}

// read takes the table and decides what to write.
func (s *State) read(now time.Time, m ReadDone) []Action {
	if m.Failed {
		s.fail(now)
		return nil
	}
	s.observe(now, m.Table)
	s.table, s.version = m.Table, m.Version
	s.mine = slices.DeleteFunc(s.mine, func(i int) bool { return m.Table.Seats[i].Holder != s.config.VM })
	next, mine := s.plan(now)
	if next == s.table {
		s.busy = false
		s.failures = 0
		s.due = now.Add(lookEvery - lookEvery/4 + s.jitter(lookEvery/2))
		return nil
	}
	s.pending = mine
	return []Action{Write{Table: next, Base: m.Version}}
}

// written takes the end of a write.
func (s *State) written(now time.Time, m WriteDone) {
	if m.Conflict {
		// Another VM was faster; reading again at once settles it.
		s.busy = false
		s.due = now.Add(s.jitter(retryEvery / 4))
		return
	}
	if m.Failed {
		s.fail(now)
		return
	}
	s.busy = false
	s.failures = 0
	s.mine = s.pending
	s.renewed = m.Sent
	s.until = m.Sent.Add(LeaseTTL)
	s.extended = false
	s.witness = s.witness[:0]
	for _, n := range s.members {
		if !n.Left {
			s.witness = append(s.witness, n.VM)
		}
	}
	for _, seat := range s.table.Seats {
		if seat.Holder != "" {
			s.witness = append(s.witness, seat.Holder)
		}
	}
	s.due = now.Add(renewEvery - renewEvery/8 + s.jitter(renewEvery/4))
}

// fail retries later. Nothing is known of a write without an answer; the next
// read shows it.
func (s *State) fail(now time.Time) {
	most := retryMost
	if s.quota() == 0 && len(s.mine) == 0 {
		most = 2 * lookEvery
	}
	wait := min(retryEvery<<min(s.failures, 8), most)
	s.failures++
	s.busy = false
	s.due = now.Add(wait/2 + s.jitter(wait/2))
}

func (s *State) jitter(d time.Duration) time.Duration {
	return time.Duration(s.random.Int64N(int64(d) + 1))
}
