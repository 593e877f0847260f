package seats

import (
	"cmp"
	"slices"
	"time"
)

// quota is the number of seats that this VM should hold. VMs that do not reach
// the platform can't hold any, so that the others divide their part.
func (s *State) quota() int {
	var takers []ZoneVM
	for _, n := range s.members {
		if n.RouterUp && n.Alive && !n.Left && (n.ReachesStore || n.VM == s.config.VM) {
			takers = append(takers, n)
		}
	}
	slices.SortFunc(takers, func(a, b ZoneVM) int {
		return cmp.Or(cmp.Compare(a.Rank, b.Rank), cmp.Compare(a.VM, b.VM))
	})
	rank := slices.IndexFunc(takers, func(n ZoneVM) bool { return n.VM == s.config.VM })
	if s.leaving || rank < 0 {
		return 0
	}
	q := PerZone / len(takers)
	if rank < PerZone%len(takers) {
		q++
	}
	return q
}

// observe notes since when each seat has been seen unchanged.
func (s *State) observe(now time.Time, t Table) {
	gap := s.lastRead.IsZero() || now.Sub(s.lastRead) > blind
	for i := range t.Seats {
		if gap || t.Seats[i] != s.table.Seats[i] || s.seen[i].IsZero() {
			s.seen[i] = now
		}
	}
	s.lastRead = now
}

// plan renews the own seats, gives back what is above the quota, and takes
// free and lapsed seats up to it. It returns the own seats after the write.
func (s *State) plan(now time.Time) (Table, []int) {
	next := s.table
	quota := s.quota()
	var mine []int
	for i := range next.Seats {
		if next.Seats[i].Holder != s.config.VM {
			delete(s.retiring, i)
			continue
		}
		next.Seats[i].Count++
		if s.gives(now, i, len(mine) >= quota) {
			next.Seats[i].Holder = ""
			continue
		}
		if _, ok := s.retiring[i]; !ok {
			mine = append(mine, i)
		}
	}
	for i := range next.Seats {
		if len(mine) >= quota || now.Sub(s.takes) < settle {
			break
		}
		if s.free(now, i) {
			next.Seats[i] = Seat{Holder: s.config.VM, Count: next.Seats[i].Count + 1}
			mine = append(mine, i)
		}
	}
	return next, mine
}

// gives reports whether an own seat goes back now. A seat above the quota is
// first left unused until no run that it allowed can go on.
func (s *State) gives(now time.Time, seat int, above bool) bool {
	if s.leaving {
		return true
	}
	end, ok := s.retiring[seat]
	switch {
	case !ok && above:
		s.retiring[seat] = now.Add(MaxRunTime)
		return false
	case ok && !above && !now.Before(end):
		delete(s.retiring, seat)
		return false
	default:
		return ok && !now.Before(end)
	}
}

// free reports whether a seat may be taken.
func (s *State) free(now time.Time, seat int) bool {
	holder := s.table.Seats[seat].Holder
	if holder == s.config.VM {
		return false
	}
	return holder == "" || now.Sub(s.seen[seat]) >= TakeoverTimeout
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
