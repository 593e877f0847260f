package claims

import (
	"time"

	"github.com/cranberrypier/cranberrypier/internal/invariant"
	"github.com/cranberrypier/cranberrypier/internal/result"
)

// report is an outcome on its way to the journal.
type report struct {
	journal JournalID
	item    Item
	direct  bool
	expires time.Time
	busy    bool
	done    bool
}

// reportQueue holds the outcomes to record, oldest first. After a failure all
// wait, so that a store outage costs one try a pause and not one an outcome.
type reportQueue struct {
	list  []*report
	busy  int
	hold  time.Time
	pause time.Duration
}

func (q *reportQueue) len() int { return len(q.list) }

func (q *reportQueue) next(now time.Time) time.Time {
	if len(q.list) == q.busy || q.busy >= reportsAtOnce {
		return time.Time{}
	}
	if q.hold.After(now) {
		return q.hold
	}
	return now
}

// report queues the outcome of the entry's present number.
func (c *Core) report(e *entry, s *StoredOutcome, keep time.Duration) {
	it := Item{Digest: e.digest, Print: e.print, Claimer: c.self(e.number), Outcome: s}
	c.reports.list = append(c.reports.list, &report{journal: e.journal, item: it, expires: c.now.Add(keep)})
}

// sendReports starts as many reports as may be in progress.
func (c *Core) sendReports() {
	q := &c.reports
	if c.now.Before(q.hold) {
		return
	}
	for _, r := range q.list {
		if q.busy >= reportsAtOnce {
			break
		}
		if !r.busy && !r.done {
			r.busy = true
			q.busy++
			c.sendReport(r)
		}
		if c.now.Before(q.hold) {
			break
		}
	}
	q.compact()
}

func (q *reportQueue) compact() {
	kept := q.list[:0]
	for _, r := range q.list {
		if !r.done {
			kept = append(kept, r)
		}
	}
	clear(q.list[len(kept):])
	q.list = kept
}

func (c *Core) sendReport(r *report) {
	addr, remote := c.home(r.journal)
	if r.journal.VM != "" {
		if !remote || addr == "" {
			c.reported(r, c.putTicket(r.item).Verdict, false)
			return
		}
	} else if !remote || r.direct {
		c.enqueue(r.journal, queued{item: r.item, report: r}, false)
		return
	}
	c.call++
	c.calls[c.call] = &outgoing{report: r, addr: addr}
	c.do(SendPut{Call: c.call, Addr: addr, Body: PutBody{Journal: r.journal, Item: r.item}})
}

// reported ends one try. A report that the home did not take is written here
// the next time; one that failed here waits with all others.
func (c *Core) reported(r *report, v Verdict, byPeer bool) {
	if !r.busy {
		return
	}
	ok := v != Unavailable
	ran := r.item.Outcome.Run != result.NotRun
	invariant.Check(!ran || v != ClaimMissing, invariant.AtMostOnce, "the claim of run %s is not in its journal", r.item.Digest)
	r.busy = false
	q := &c.reports
	q.busy--
	if ok {
		q.pause = 0
	}
	if !ok && c.now.Before(r.expires) {
		r.direct = byPeer
		if !byPeer || r.journal.VM != "" {
			q.pause = min(max(2*q.pause, minBackOff), maxBackOff)
			q.hold = c.now.Add(q.pause)
		}
		return
	}
	r.done = true
	e := c.entries[r.item.Digest]
	if e != nil && e.phase == ended && e.number == r.item.Claimer.Number {
		delete(c.entries, e.digest)
	}
	if v != OutcomeRecorded && ran && len(c.unrecorded) < maxUnrecorded {
		c.unrecorded[r.item.Claimer.Number] = struct{}{}
	}
	if !ok {
		c.do(RecordEvent{Name: "claims.outcome_lost", Digest: r.item.Digest})
	}
}
