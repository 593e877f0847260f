package claims

import (
	"time"

	"github.com/cranberrypier/cranberrypier/internal/invariant"
	"github.com/cranberrypier/cranberrypier/internal/result"
)

// report is an outcome on its way to the journal.
type report struct {
	journal    JournalID
	item       Item
	bypassHome bool
	expires    time.Time
	inFlight   bool
	done       bool
}

// reportQueue holds the outcomes to record, oldest first. After a failure all
// wait, so that a store outage costs one try a pause and not one an outcome.
type reportQueue struct {
	list        []*report
	inFlight    int
	pausedUntil time.Time
	backoff     time.Duration
}

func (q *reportQueue) len() int { return len(q.list) }

func (q *reportQueue) nextSend(now time.Time) time.Time {
	if len(q.list) == q.inFlight || q.inFlight >= maxConcurrentReports {
		return time.Time{}
	}
	if q.pausedUntil.After(now) {
		return q.pausedUntil
	}
	return now
}

// report queues the outcome of the entry's present number.
func (c *Core) queueReport(e *entry, s *Stored, ttl time.Duration) {
	it := Item{Digest: e.digest, Print: e.fingerprint, Claimer: c.ownClaimer(e.number), Outcome: s}
	c.reports.list = append(c.reports.list, &report{journal: e.journal, item: it, expires: c.now.Add(ttl)})
}

// sendReports starts as many reports as may be in progress.
func (c *Core) sendReports() {
	q := &c.reports
	if c.now.Before(q.pausedUntil) {
		return
	}
	for _, r := range q.list {
		if q.inFlight >= maxConcurrentReports {
			break
		}
		if !r.inFlight && !r.done {
			r.inFlight = true
			q.inFlight++
			c.sendReport(r)
		}
		if c.now.Before(q.pausedUntil) {
			break
		}
	}
	q.removeDone()
}

func (q *reportQueue) removeDone() {
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
			c.handleReportResult(r, c.applyTicketItem(r.item).Verdict, false)
			return
		}
	} else if !remote || r.bypassHome {
		c.enqueue(r.journal, queuedItem{item: r.item, report: r}, false)
		return
	}
	c.lastCall++
	c.peerCalls[c.lastCall] = &peerCall{report: r, addr: addr}
	c.emit(SendPut{Call: c.lastCall, Addr: addr, Body: PutBody{Journal: r.journal, Item: r.item}})
}

// reported ends one try. A report that the home did not take is written here
// the next time; one that failed here waits with all others.
func (c *Core) handleReportResult(r *report, v Verdict, fromPeer bool) {
	if !r.inFlight {
		return
	}
	ok := v != Unavailable
	ran := r.item.Outcome.Run != result.NotRun
	invariant.Check(!ran || v != Void, invariant.AtMostOnce, "the claim of run %s is not in its journal", r.item.Digest)
	r.inFlight = false
	q := &c.reports
	q.inFlight--
	if ok {
		q.backoff = 0
	}
	if !ok && c.now.Before(r.expires) {
		r.bypassHome = fromPeer
		if !fromPeer || r.journal.VM != "" {
			q.backoff = min(max(2*q.backoff, minReportBackoff), maxReportBackoff)
			q.pausedUntil = c.now.Add(q.backoff)
		}
		return
	}
	r.done = true
	e := c.entries[r.item.Digest]
	if e != nil && e.phase == phaseEnded && e.number == r.item.Claimer.Number {
		delete(c.entries, e.digest)
	}
	if v != Settled && ran && len(c.unrecorded) < maxUnrecordedNumbers {
		c.unrecorded[r.item.Claimer.Number] = struct{}{}
	}
	if !ok {
		c.emit(Note{Name: "claims.outcome_lost", Digest: r.item.Digest})
	}
}
