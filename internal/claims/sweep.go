package claims

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"github.com/cranberrypier/cranberrypier/internal/platform"
)

// Ages at which journals are closed and removed. A journal is closed first: its
// records are deleted and it rejects every claim. The empty object is kept for a
// day, so that a VM whose clock is slow by less than a day can't run an old key
// again. The object is removed only after this process has seen it closed for
// minClosedTime on its monotonic clock, so that a VM whose clock is fast can't
// remove a journal whose keys other VMs still accept.
const (
	closeMargin     = 10 * time.Minute // from when keys expire until the journal is closed
	removeAge       = 24 * time.Hour
	minClosedTime   = 30 * time.Minute
	closeLookback   = time.Hour // how far back a new process starts to close
	removeLookback  = time.Hour // how far back a new process starts to remove
	closeGroupSize  = 10        // buckets per listing when closing
	removeGroupSize = 100       // buckets per listing when removing
	sweepInterval   = time.Second
)

// sweeper decides which journals to list and what to do with those found.
type sweeper struct {
	window     time.Duration
	nextClose  int64 // the next group of closeGroupSize buckets
	nextRemove int64 // the next group of removeGroupSize buckets
	// closedSince holds the groups whose journals were all found closed, and
	// since when.
	closedSince map[int64]time.Time
}

// sweepOp is one conditional write. It deletes the journal if Remove is set and
// closes it otherwise.
type sweepOp struct {
	Name   string
	Base   platform.Version
	Remove bool
}

// sweepJob is one listing of the store. It covers a group of consecutive buckets:
// removeGroupSize buckets if Remove is set and closeGroupSize otherwise.
type sweepJob struct {
	Group  int64
	Prefix string
	Remove bool
}

func newSweeper(now time.Time, window time.Duration) *sweeper {
	s := &sweeper{window: window, closedSince: make(map[int64]time.Time)}
	s.nextClose = s.closeEnd(now.Add(-closeLookback))
	s.nextRemove = s.removeEnd(now.Add(-removeLookback))
	return s
}

func groupOf(t time.Time, size int64) int64 {
	return t.UnixMilli() / BucketDuration.Milliseconds() / size
}

// closeEnd and removeEnd return the first group that is too young to close or
// remove.
func (s *sweeper) closeEnd(now time.Time) int64 {
	return groupOf(now.Add(-s.window-closeMargin), closeGroupSize)
}

func (s *sweeper) removeEnd(now time.Time) int64 {
	return groupOf(now.Add(-removeAge), removeGroupSize)
}

// nextJob returns the listing that is due, if any.
func (s *sweeper) nextJob(now time.Time) (sweepJob, bool) {
	if s.nextClose < s.closeEnd(now) {
		g := s.nextClose
		s.nextClose++
		return sweepJob{Group: g, Prefix: fmt.Sprintf("%011d", g)}, true
	}
	for _, g := range slices.Sorted(maps.Keys(s.closedSince)) {
		if now.Sub(s.closedSince[g]) >= minClosedTime {
			return sweepJob{Group: g, Prefix: fmt.Sprintf("%010d", g), Remove: true}, true
		}
	}
	if s.nextRemove < s.removeEnd(now) {
		g := s.nextRemove
		s.nextRemove++
		return sweepJob{Group: g, Prefix: fmt.Sprintf("%010d", g), Remove: true}, true
	}
	return sweepJob{}, false
}

// plan returns the writes for the journals that the job's listing found. A closed
// journal is recognized by its content, never by its age.
func (s *sweeper) plan(now time.Time, job sweepJob, found []platform.Object) []sweepOp {
	closedAt, tracked := s.closedSince[job.Group]
	remove := job.Remove && tracked && now.Sub(closedAt) >= minClosedTime
	if job.Remove && !tracked && len(found) > 0 {
		s.closedSince[job.Group] = now
	}
	if remove {
		delete(s.closedSince, job.Group)
	}
	var ops []sweepOp
	for _, o := range found {
		j, err := decodeJournal(o.Value)
		closed := err == nil && j.closed
		if !closed {
			if job.Remove {
				s.closedSince[job.Group] = now
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
