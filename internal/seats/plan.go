package seats

import (
	"cmp"
	"slices"
	"time"
)

// quota is the number of seats that this VM should hold. VMs that cannot reach
// the store cannot hold any, so their part is divided among the others.
func (s *State) quota() int {
	var eligible []ZoneVM
	for _, n := range s.members {
		if n.RouterUp && n.Alive && !n.Left && (n.ReachesStore || n.VM == s.config.VM) {
			eligible = append(eligible, n)
		}
	}
	slices.SortFunc(eligible, func(a, b ZoneVM) int {
		return cmp.Or(cmp.Compare(a.Rank, b.Rank), cmp.Compare(a.VM, b.VM))
	})
	rank := slices.IndexFunc(eligible, func(n ZoneVM) bool { return n.VM == s.config.VM })
	if s.leaving || rank < 0 {
		return 0
	}
	q := PerZone / len(eligible)
	if rank < PerZone%len(eligible) {
		q++
	}
	return q
}

// trackUnchanged records since when each seat has been unchanged.
func (s *State) trackUnchanged(now time.Time, t Table) {
	gap := s.lastRead.IsZero() || now.Sub(s.lastRead) > maxReadGap
	for i := range t.Seats {
		if gap || t.Seats[i] != s.table.Seats[i] || s.unchangedSince[i].IsZero() {
			s.unchangedSince[i] = now
		}
	}
	s.lastRead = now
}

// nextTable renews the seats of this VM, gives back those above the quota, and
// takes free and expired seats up to the quota. It returns the seats that this
// VM owns once the table is written.
func (s *State) nextTable(now time.Time) (Table, []int) {
	next := s.table
	quota := s.quota()
	var owned []int
	for i := range next.Seats {
		if next.Seats[i].Holder != s.config.VM {
			delete(s.retireAt, i)
			continue
		}
		next.Seats[i].Count++
		if s.updateRetirement(now, i, len(owned) >= quota) {
			next.Seats[i].Holder = ""
			continue
		}
		if _, ok := s.retireAt[i]; !ok {
			owned = append(owned, i)
		}
	}
	for i := range next.Seats {
		if len(owned) >= quota || now.Sub(s.quotaSince) < settleDelay {
			break
		}
		if s.available(now, i) {
			next.Seats[i] = Seat{Holder: s.config.VM, Count: next.Seats[i].Count + 1}
			owned = append(owned, i)
		}
	}
	return next, owned
}

// updateRetirement starts or ends the retirement of a seat of this VM, and
// reports whether to give the seat back now. A seat above the quota is retired:
// it is left unused until every run that it allowed must have ended. Then it is
// given back, or used again if it is within the quota again.
func (s *State) updateRetirement(now time.Time, seat int, overQuota bool) bool {
	if s.leaving {
		return true
	}
	end, ok := s.retireAt[seat]
	switch {
	case !ok && overQuota:
		s.retireAt[seat] = now.Add(MaxRunTime)
		return false
	case ok && !overQuota && !now.Before(end):
		delete(s.retireAt, seat)
		return false
	default:
		return ok && !now.Before(end)
	}
}

// available reports whether this VM may take the seat.
func (s *State) available(now time.Time, seat int) bool {
	holder := s.table.Seats[seat].Holder
	if holder == s.config.VM {
		return false
	}
	return holder == "" || now.Sub(s.unchangedSince[seat]) >= TakeoverTimeout
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
