package poison

import (
	"slices"
	"time"
)

const (
	// maxConfirmTime is how long after a connection broke the upstream's end still
	// counts as the cause.
	maxConfirmTime = 3 * time.Second
	// maxCrashDelay is how long after a run was dropped the upstream's crash may
	// still be due to it.
	maxCrashDelay = time.Second
	// maxBreakSpread is how far apart a crash breaks the connections of its upstream.
	maxBreakSpread = 250 * time.Millisecond
	// minCheckInterval is the minimum time between checks of one upstream.
	minCheckInterval = time.Second
	// maxUnconfirmedRuns limits the runs that are kept.
	maxUnconfirmedRuns = 512
)

// unconfirmedRun is a run that ended early, maybe because the upstream crashed.
type unconfirmedRun struct {
	Run
	crash   crashID
	dropped bool // this VM ended the run
}

// unconfirmedRuns holds the runs of this VM that ended early, and the crashes that
// are known.
type unconfirmedRuns struct {
	list      []unconfirmedRun
	crashes   map[crashID]time.Time
	checkedAt map[crashID]time.Time
}

func newUnconfirmedRuns() unconfirmedRuns {
	return unconfirmedRuns{crashes: make(map[crashID]time.Time), checkedAt: make(map[crashID]time.Time)}
}

// add records a run and reports whether its upstream should be checked.
func (u *unconfirmedRuns) add(now time.Time, r unconfirmedRun) (check bool) {
	u.expire(now)
	if len(u.list) >= maxUnconfirmedRuns {
		u.list = slices.Delete(u.list, 0, 1) // the oldest
	}
	u.list = append(u.list, r)
	return !r.dropped && u.checkDue(now, r.crash)
}

// checkDue reports whether an incarnation has not been checked lately, and records
// the check.
func (u *unconfirmedRuns) checkDue(now time.Time, id crashID) bool {
	if now.Sub(u.checkedAt[id]) < minCheckInterval {
		return false
	}
	u.checkedAt[id] = now
	return true
}

// take removes and returns the runs on an incarnation.
func (u *unconfirmedRuns) take(id crashID) []unconfirmedRun {
	var taken []unconfirmedRun
	u.list = slices.DeleteFunc(u.list, func(r unconfirmedRun) bool {
		if r.crash == id {
			taken = append(taken, r)
		}
		return r.crash == id
	})
	return taken
}

// lastBrokenAt returns when an incarnation last broke a connection under a run, or now if
// it has not.
func (u *unconfirmedRuns) lastBrokenAt(id crashID, now time.Time) time.Time {
	last := time.Time{}
	for _, r := range u.list {
		if r.crash == id && !r.dropped && r.EndedAt.After(last) {
			last = r.EndedAt
		}
	}
	if last.IsZero() {
		return now
	}
	return last
}

// discard removes the runs that an incarnation broke before a time.
func (u *unconfirmedRuns) discard(id crashID, before time.Time) {
	u.list = slices.DeleteFunc(u.list, func(r unconfirmedRun) bool {
		return !r.dropped && r.crash == id && r.EndedAt.Before(before)
	})
}

func (u *unconfirmedRuns) recordCrash(now time.Time, id crashID, crashedAt time.Time) {
	u.expire(now)
	u.crashes[id] = crashedAt
}

func (u *unconfirmedRuns) expire(now time.Time) {
	u.list = slices.DeleteFunc(u.list, func(r unconfirmedRun) bool { return now.Sub(r.EndedAt) > maxConfirmTime })
	for _, times := range []map[crashID]time.Time{u.crashes, u.checkedAt} {
		for id, at := range times {
			if now.Sub(at) > maxConfirmTime {
				delete(times, id)
			}
		}
	}
}
