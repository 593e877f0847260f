package poison

import (
	"cmp"
	"slices"
	"time"
)

const (
	// maxSharedSuspects and maxSharedMarks limit what is sent to other VMs at once, to
	// one datagram.
	maxSharedSuspects = 16
	maxSharedMarks    = 5
	// maxRankedSuspects limits the suspects that are sent for their number of crashes;
	// the others take turns.
	maxRankedSuspects = 8
	// shareTime is how long a change is sent each time. Afterwards, blocked content is
	// sent every repeatInterval.
	shareTime      = 10 * time.Second
	repeatInterval = 5 * time.Second
	// urgentTime is how long after a change other VMs need it soon.
	urgentTime = 3 * time.Second
)

// Mark is a crash of an upstream that ran some content, as VMs share it.
type Mark struct {
	_ struct{} `cbor:",toarray"`
	// Crash identifies the upstream's incarnation.
	Crash uint32
	// AgeMS is the time in milliseconds since the crash, and RanMS how long the
	// response had been under way by then.
	AgeMS int64
	RanMS int64
	// Cleared is true if the mark does not count: a request with the content completed
	// after the crash, or there was no crash.
	Cleared bool
}

// Suspect is content that was running on upstreams that crashed, as VMs share it.
type Suspect struct {
	_   struct{} `cbor:",toarray"`
	Key Key
	// Depth is the position of the part in prompts; zero for a whole request.
	Depth int
	Marks []Mark
}

// Share returns what other VMs should know.
func (c *Core) Share(now time.Time) []Suspect {
	if len(c.suspects) == 0 {
		return nil
	}
	c.judge(now)
	keys := c.toShare(now)
	out := make([]Suspect, 0, len(keys))
	for _, k := range keys {
		s := c.suspects[k]
		s.sharedAt = now
		out = append(out, Suspect{Key: k, Depth: s.depth, Marks: s.share(now)})
	}
	return out
}

// ShareAgain makes all blocked content due to be sent: a VM has started that does not know
// it.
func (c *Core) ShareAgain() {
	for _, s := range c.suspects {
		if s.blocked {
			s.sharedAt = time.Time{}
		}
	}
}

// toShare returns the keys with the most crashes, and others in turn.
func (c *Core) toShare(now time.Time) []Key {
	list := make([]sharedSuspect, 0, len(c.suspects))
	for k, s := range c.suspects {
		if now.Sub(s.changedAt) < shareTime || s.blocked && now.Sub(s.sharedAt) >= repeatInterval {
			list = append(list, sharedSuspect{k, s})
		}
	}
	slices.SortFunc(list, func(a, b sharedSuspect) int {
		return cmp.Or(b.count-a.count, a.sharedAt.Compare(b.sharedAt))
	})
	ranked := min(len(list), maxRankedSuspects)
	slices.SortFunc(list[ranked:], func(a, b sharedSuspect) int { return a.sharedAt.Compare(b.sharedAt) })
	keys := make([]Key, 0, maxSharedSuspects)
	for _, s := range list[:min(len(list), maxSharedSuspects)] {
		keys = append(keys, s.key)
	}
	return keys
}

type sharedSuspect struct {
	key Key
	*suspect
}

// share returns the newest marks.
func (s *suspect) share(now time.Time) []Mark {
	newest := s.marks[max(len(s.marks)-maxSharedMarks, 0):]
	out := make([]Mark, 0, len(newest))
	for _, m := range newest {
		out = append(out, Mark{
			Crash: uint32(m.crash), AgeMS: now.Sub(m.crashedAt).Milliseconds(), RanMS: m.ran.Milliseconds(), Cleared: m.cleared,
		})
	}
	return out
}

// Merge applies what another VM shares. A crash that another VM has confirmed also
// confirms the runs of this VM.
func (c *Core) Merge(now time.Time, shared []Suspect) {
	for _, s := range shared {
		for _, m := range s.Marks[:min(len(s.Marks), maxMarks)] {
			crashedAt := now.Add(-time.Duration(m.AgeMS) * time.Millisecond)
			if now.Sub(crashedAt) > blockedTTL {
				continue
			}
			c.confirm(now, crashID(m.Crash), crashedAt)
			c.addMark(now, s.Key, s.Depth, mark{
				crash: crashID(m.Crash), crashedAt: crashedAt, ran: time.Duration(m.RanMS) * time.Millisecond, cleared: m.Cleared,
			})
		}
	}
}

// IsUrgent reports whether other VMs need the latest crashes soon: some content has
// crashed upstreams repeatedly.
func (c *Core) IsUrgent(now time.Time) bool {
	if len(c.suspects) == 0 {
		return false
	}
	c.judge(now)
	for _, s := range c.suspects {
		if s.count >= minCrashes-1 && now.Sub(s.changedAt) < urgentTime {
			return true
		}
	}
	return false
}
