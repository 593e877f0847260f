package claims

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"github.com/cranberrypier/cranberrypier/internal/platform"
)

// Ages at which journals are closed and removed. A journal is first closed: its
// records go and it refuses every claim. The empty object stays for a day, so a
// VM whose clock is behind by less than that can't run an old key again. It is
// removed only when this process has seen it closed for closedFor on its
// monotonic clock, so a clock that is ahead can't remove a journal whose keys
// others still accept.
const (
	closeGuard  = 10 * time.Minute
	removeAge   = 24 * time.Hour
	closedFor   = 30 * time.Minute
	closeLook   = time.Hour // how far back a new process closes
	removeLook  = time.Hour // how far back a new process removes
	closeGroup  = 10        // buckets listed by one call when closing
	removeGroup = 100       // buckets listed by one call when removing
	sweepPause  = time.Second
)

// sweeper says which journals to list, and what to do with those found.
type sweeper struct {
	window  time.Duration
	closing int64 // the next group of closeGroup buckets
	removal int64 // the next group of removeGroup buckets
	// seen holds the groups whose journals were all found closed, and since
	// when.
	seen map[int64]time.Time
}

// sweepOp is one conditional write; Remove deletes, otherwise the journal is
// closed.
type sweepOp struct {
	Name   string
	Base   platform.Version
	Remove bool
}

// sweepJob is one listing.
type sweepJob struct {
	Group  int64
	Prefix string
	Remove bool
}

func newSweeper(now time.Time, window time.Duration) *sweeper {
	s := &sweeper{window: window, seen: make(map[int64]time.Time)}
	s.closing = s.closeEnd(now.Add(-closeLook))
	s.removal = s.removeEnd(now.Add(-removeLook))
	return s
}

func groupOf(t time.Time, group int64) int64 {
	return t.UnixMilli() / BucketDuration.Milliseconds() / group
}

// closeEnd and removeEnd are the first groups that are too young.
func (s *sweeper) closeEnd(now time.Time) int64 {
	return groupOf(now.Add(-s.window-closeGuard), closeGroup)
}

func (s *sweeper) removeEnd(now time.Time) int64 {
	return groupOf(now.Add(-removeAge), removeGroup)
}

// next returns the listing that is due, if any.
func (s *sweeper) next(now time.Time) (sweepJob, bool) {
	if s.closing < s.closeEnd(now) {
		g := s.closing
		s.closing++
		return sweepJob{Group: g, Prefix: fmt.Sprintf("%011d", g)}, true
	}
	for _, g := range slices.Sorted(maps.Keys(s.seen)) {
		if now.Sub(s.seen[g]) >= closedFor {
			return sweepJob{Group: g, Prefix: fmt.Sprintf("%010d", g), Remove: true}, true
		}
	}
	if s.removal < s.removeEnd(now) {
		g := s.removal
		s.removal++
		return sweepJob{Group: g, Prefix: fmt.Sprintf("%010d", g), Remove: true}, true
	}
	return sweepJob{}, false
}

// listed returns the writes for the journals found. A closed journal is found
// by its content, never by its age.
func (s *sweeper) listed(now time.Time, job sweepJob, found []platform.Object) []sweepOp {
	since, known := s.seen[job.Group]
	remove := job.Remove && known && now.Sub(since) >= closedFor
	if job.Remove && !known && len(found) > 0 {
		s.seen[job.Group] = now
	}
	if remove {
		delete(s.seen, job.Group)
	}
	var ops []sweepOp
	for _, o := range found {
		j, err := decodeJournal(o.Value)
		closed := err == nil && j.closed
		if !closed {
			if job.Remove {
				s.seen[job.Group] = now
			}
			ops = append(ops, sweepOp{Name: o.Name, Base: o.Version})
		} else if remove {
			ops = append(ops, sweepOp{Name: o.Name, Base: o.Version, Remove: true})
		}
	}
	return ops
}

// closedValue is the content of a closed journal.
func closedValue() []byte {
	b, _ := (&journal{closed: true}).encode()
	return b
}
