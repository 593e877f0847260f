package overload

import (
	"math"
	"strconv"
	"time"
)

// The floor of each kind, team and size.
//
// Load pattern: a burst of urgent or short requests that lasts for seconds. In the order
// alone, the least urgent and the largest would get no room until its end. A request
// waits for at most MaxHoldTime, so its own age would never give it a turn; what ages is
// the share of its kind, team and size that was served lately.

const (
	// floorInterval is how often a grant goes to a neglected request: once in so many.
	floorInterval = 8
	// neglectRatio is the ratio of a group's served share to that of all requests below
	// which the group is neglected.
	neglectRatio = 0.5
	// minNeglectDemand is the decayed number of requests from which on the served share
	// of a group says anything.
	minNeglectDemand = 2.0
	// shareHalfLife is the half-life of the served shares.
	shareHalfLife = 2 * time.Second
	// groupTTL is how long an idle group is kept, and maxGroups how many there are.
	groupTTL  = 10 * time.Second
	maxGroups = 256
)

// groupKey names a set of requests that has a floor: all of one kind and priority, of one
// team or of one size.
type groupKey struct{ dimension, name string }

const (
	dimensionKind = "kind"
	dimensionTeam = "team"
	dimensionSize = "size"
)

// groupsPerRequest is the number of groups that a request belongs to.
const groupsPerRequest = 3

// groupsOf returns the groups of a request.
func groupsOf(r *Request) [groupsPerRequest]groupKey {
	return [...]groupKey{
		{dimensionKind, strconv.Itoa(r.Priority) + " " + r.Kind}, {dimensionTeam, r.Team}, {dimensionSize, strconv.Itoa(int(r.size()))},
	}
}

// served counts requests that needed room, and those of them that got it, decayed.
type served struct {
	demand, grants float64
	at             time.Time
}

func (s *served) decay(now time.Time) {
	if d := now.Sub(s.at); d > 0 {
		keep := math.Exp2(-d.Seconds() / shareHalfLife.Seconds())
		s.demand, s.grants = s.demand*keep, s.grants*keep
	}
	s.at = now
}

func (s *served) share() float64 { return s.grants / max(s.demand, 1) }

// shares are the served shares of all groups.
type shares struct {
	all     served
	groups  map[groupKey]*served
	granted int // grants since the latest one for the floor
}

// recordDemand counts a request that needs room. It returns the request's groups; nil in
// place of those beyond maxGroups.
func (s *shares) recordDemand(now time.Time, r *Request) (groups [groupsPerRequest]*served) {
	s.all.decay(now)
	s.all.demand++
	for i, g := range groupsOf(r) {
		e := s.groups[g]
		if e == nil {
			s.dropIdle(now)
			if len(s.groups) >= maxGroups {
				continue
			}
			e = &served{at: now}
			s.groups[g] = e
		}
		e.decay(now)
		e.demand++
		groups[i] = e
	}
	return groups
}

// recordGrant counts a request that got room, and whether its floor was the reason.
func (s *shares) recordGrant(now time.Time, w *Waiter, forFloor bool) {
	s.granted++
	if forFloor {
		s.granted = 0
	}
	s.all.decay(now)
	s.all.grants++
	for _, e := range w.groups {
		if e != nil {
			e.decay(now)
			e.grants++
		}
	}
}

func (s *shares) dropIdle(now time.Time) {
	for g, e := range s.groups {
		if now.Sub(e.at) > groupTTL {
			delete(s.groups, g)
		}
	}
}

// isNeglected reports whether a group, nil for none, is served markedly less than all
// requests.
func (s *shares) isNeglected(now time.Time, e *served) bool {
	if e == nil {
		return false
	}
	s.all.decay(now)
	e.decay(now)
	return e.demand >= minNeglectDemand && e.share() < neglectRatio*s.all.share()
}

// neglect returns the lowest served share of the neglected groups of a request, and
// whether there is one.
func (s *shares) neglect(now time.Time, w *Waiter) (lowest float64, neglected bool) {
	for _, e := range w.groups {
		if s.isNeglected(now, e) && (!neglected || e.share() < lowest) {
			lowest, neglected = e.share(), true
		}
	}
	return lowest, neglected
}

// untilFloor returns the number of grants by the order until one for the floor is due.
func (s *shares) untilFloor() int { return max(floorInterval-1-s.granted, 0) }

// floorTurn returns the waiting request that gets the next grant because of its floor, or
// nil if the order decides. It is the first in the order of those with the lowest served
// share.
func (q *Queue) floorTurn(now time.Time) *Waiter {
	if q.shares.untilFloor() > 0 {
		return nil
	}
	var best *Waiter
	lowest := 0.0
	for _, w := range q.waiting {
		share, neglected := q.shares.neglect(now, w)
		if neglected && (best == nil || share < lowest || share == lowest && w.before(best)) {
			best, lowest = w, share
		}
	}
	return best
}

// yieldsFloor reports whether another waiting request gets the next grant for the floor
// before w, whose lowest served share is given.
func (q *Queue) yieldsFloor(now time.Time, w *Waiter, share float64) bool {
	for _, o := range q.waiting {
		if other, neglected := q.shares.neglect(now, o); o != w && neglected && (other < share || other == share && o.before(w)) {
			return true
		}
	}
	return false
}
