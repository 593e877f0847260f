package fleet

import (
	"slices"
	"strings"
	"time"
)

// An upstream in need names a limit: the requests per second that it takes from all VMs
// together, for as long as its answers say so.
const (
	// limitShare is the share of a limit that is divided among the VMs in turns. The rest
	// covers VMs that do not know each other.
	limitShare = 0.9
	// limitEndTime is how long after the latest answer with a limit one without ends it,
	// because answers overtake each other.
	limitEndTime = time.Second
	// limitAccuracy is more than the error of the time of an answer that other VMs tell.
	limitAccuracy = 100 * time.Millisecond
	// discoveryPeriod is how long after its first list of upstreams a VM assumes at least
	// minAssumedVMs.
	discoveryPeriod = 5 * time.Second
	// limitShareTime is how long a change is sent in each datagram, and
	// limitRepeatInterval how often afterwards. An end is sent for endedLimitTTL.
	limitShareTime      = 2 * time.Second
	limitRepeatInterval = time.Second
	endedLimitTTL       = 10 * time.Second
	// maxReportedLimits limits the limits in one datagram.
	maxReportedLimits = 24
)

// rateLimit is what this VM knows of an upstream's limit.
type rateLimit struct {
	perSecond float64   // zero for none
	heardAt   time.Time // of the latest answer to any VM on which this is based
	changedAt time.Time // when perSecond changed here
	sharedAt  time.Time
	turns     turns
	rank      tryRank
}

// LimitChange is a change of an upstream's limit as this VM knows it, in requests per
// second; zero stands for no limit.
type LimitChange struct{ Before, After float64 }

// Changed reports whether there was a change.
func (c LimitChange) Changed() bool { return c.Before != c.After }

// RecordLimit records the limit that an answer of an upstream, also a rejection, names;
// zero if it names none.
func (f *Fleet) RecordLimit(now time.Time, p *Pick, perSecond float64) LimitChange {
	if perSecond == 0 && f.limited.Load() == 0 {
		return LimitChange{}
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	m := f.memberOf(p)
	if m == nil || perSecond == 0 && now.Sub(m.limit.heardAt) < limitEndTime {
		return LimitChange{}
	}
	return f.setLimit(now, now, m, perSecond)
}

// setLimit sets the limit that an answer named at a time.
func (f *Fleet) setLimit(now, heardAt time.Time, m *member, perSecond float64) LimitChange {
	l := &m.limit
	c := LimitChange{Before: l.perSecond, After: perSecond}
	l.heardAt = heardAt
	if !c.Changed() {
		return c
	}
	l.perSecond, l.changedAt = perSecond, now
	if c.Before == 0 || perSecond < c.Before {
		l.turns = turns{} // those of a higher rate exceed the limit
	}
	f.countLimited()
	return c
}

// countLimited counts the upstreams with a limit.
func (f *Fleet) countLimited() {
	n := int64(0)
	for _, m := range f.members {
		if m.limit.perSecond > 0 {
			n++
		}
	}
	f.limited.Store(n)
}

// LimitedUpstreams returns the number of upstreams that name a limit.
func (f *Fleet) LimitedUpstreams() int { return int(f.limited.Load()) }

// limitReached reports whether an upstream has a limit of which this VM has no unused
// turn.
func (f *Fleet) limitReached(now time.Time, m *member) bool {
	if m.limit.perSecond == 0 {
		return false
	}
	m.limit.turns.advance(now, limitShare*m.limit.perSecond, f.turnOrder(now, m))
	return len(m.limit.turns.unused) == 0
}

// takeLimit uses a turn for a request that is about to be sent.
func (f *Fleet) takeLimit(now time.Time, m *member) {
	if m.limit.perSecond > 0 && !f.limitReached(now, m) {
		m.limit.turns.take()
	}
}

// turnOrder returns this VM's position among the VMs that share an upstream's limit.
func (f *Fleet) turnOrder(now time.Time, m *member) turnOrder {
	vms := max(len(f.vms), 1)
	if now.Sub(f.firstListed) < discoveryPeriod {
		vms = max(vms, minAssumedVMs)
	}
	return turnOrder{rank: f.cachedRank(&m.limit.rank, m.hash, 0), vms: vms}
}

// LimitWait returns when a caller should return whose request found all upstreams of a
// service at their limits: at this VM's next turn, or earlier to another VM. It returns
// zero if no upstream names a limit.
func (f *Fleet) LimitWait(now time.Time, service string) time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	var shortest time.Duration
	for _, m := range f.membersOf(service) {
		if m.limit.perSecond == 0 || !f.usable(m) {
			continue
		}
		wait := m.limit.turns.untilNext(now, limitShare*m.limit.perSecond, f.turnOrder(now, m))
		if shortest == 0 || wait < shortest {
			shortest = max(wait, 1)
		}
	}
	return min(shortest, maxRoomWait)
}

// LimitReport is what a VM knows of an upstream's limit. The receiver passes it on, so
// that it reaches all VMs in a few rounds.
type LimitReport struct {
	Upstream    string  `cbor:"1,keyasint"`
	Incarnation int64   `cbor:"2,keyasint"`
	PerSecond   float64 `cbor:"3,keyasint,omitempty"` // zero: no longer limited
	// HeardMS is the age in milliseconds of the latest answer that says so.
	HeardMS int64 `cbor:"4,keyasint"`
}

// LimitReports returns what other VMs should know now: changes at once, the rest in
// turn.
func (f *Fleet) LimitReports(now time.Time) []LimitReport {
	f.mu.Lock()
	defer f.mu.Unlock()
	var due []*member
	for _, m := range f.members {
		l := &m.limit
		switch {
		case l.heardAt.IsZero(), l.perSecond == 0 && now.Sub(l.changedAt) > endedLimitTTL:
		case now.Sub(l.changedAt) < limitShareTime || now.Sub(l.sharedAt) >= limitRepeatInterval:
			due = append(due, m)
		}
	}
	slices.SortFunc(due, func(a, b *member) int {
		if c := a.limit.sharedAt.Compare(b.limit.sharedAt); c != 0 {
			return c
		}
		return strings.Compare(a.ID, b.ID)
	})
	out := make([]LimitReport, 0, min(len(due), maxReportedLimits))
	for _, m := range due[:cap(out)] {
		m.limit.sharedAt = now
		out = append(out, LimitReport{
			Upstream: m.ID, Incarnation: m.Incarnation, PerSecond: m.limit.perSecond, HeardMS: max(now.Sub(m.limit.heardAt).Milliseconds(), 0),
		})
	}
	return out
}

// MergeLimit applies another VM's report.
func (f *Fleet) MergeLimit(now time.Time, r LimitReport) LimitChange {
	f.mu.Lock()
	defer f.mu.Unlock()
	m := f.members[r.Upstream]
	heardAt := now.Add(-time.Duration(r.HeardMS) * time.Millisecond)
	if m == nil || m.Incarnation != r.Incarnation || r.HeardMS < 0 || !(r.PerSecond >= 0) || heardAt.Sub(m.limit.heardAt) <= limitAccuracy {
		return LimitChange{}
	}
	return f.setLimit(now, heardAt, m, r.PerSecond)
}
