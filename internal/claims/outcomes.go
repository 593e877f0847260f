package claims

import (
	"time"

	"github.com/cranberrypier/cranberrypier/internal/invariant"
	"github.com/cranberrypier/cranberrypier/internal/result"
)

// outcomeWrite is an outcome that has to be recorded in its journal.
type outcomeWrite struct {
	journal    JournalID
	item       Item
	bypassHome bool
	expires    time.Time
	inFlight   bool
	done       bool
}

// outcomeQueue holds the outcomes to record, oldest first. After a failure, all
// outcomes wait for the backoff, so that a store outage costs one attempt per
// backoff and not one per outcome.
type outcomeQueue struct {
	list        []*outcomeWrite
	inFlight    int
	pausedUntil time.Time
	backoff     time.Duration
}

func (q *outcomeQueue) len() int { return len(q.list) }

func (q *outcomeQueue) nextSend(now time.Time) time.Time {
	if len(q.list) == q.inFlight || q.inFlight >= maxConcurrentOutcomes {
		return time.Time{}
	}
	if q.pausedUntil.After(now) {
		return q.pausedUntil
	}
	return now
}

// queueOutcome queues the outcome of the entry's current claim. Recording it is
// retried for ttl.
func (c *Core) queueOutcome(e *entry, s *StoredOutcome, ttl time.Duration) {
	it := Item{Digest: e.digest, Print: e.fingerprintHash, Claimer: c.ownClaimer(e.claimNumber), Outcome: s}
	c.outcomes.list = append(c.outcomes.list, &outcomeWrite{journal: e.journal, item: it, expires: c.now.Add(ttl)})
}

// sendOutcomes sends as many outcomes as may be in flight.
func (c *Core) sendOutcomes() {
	q := &c.outcomes
	if c.now.Before(q.pausedUntil) {
		return
	}
	for _, r := range q.list {
		if q.inFlight >= maxConcurrentOutcomes {
			break
		}
		if !r.inFlight && !r.done {
			r.inFlight = true
			q.inFlight++
			c.sendOutcome(r)
		}
		if c.now.Before(q.pausedUntil) {
			break
		}
	}
	q.removeDone()
}

func (q *outcomeQueue) removeDone() {
	kept := q.list[:0]
	for _, r := range q.list {
		if !r.done {
			kept = append(kept, r)
		}
	}
	clear(q.list[len(kept):])
	q.list = kept
}

func (c *Core) sendOutcome(r *outcomeWrite) {
	addr, remote := c.home(r.journal)
	if r.journal.VM != "" {
		if !remote || addr == "" {
			c.handleOutcomeResult(r, c.applyTicketItem(r.item).Verdict, false)
			return
		}
	} else if !remote || r.bypassHome {
		c.enqueue(r.journal, queuedItem{item: r.item, outcome: r}, false)
		return
	}
	c.lastCall++
	c.peerCalls[c.lastCall] = &peerCall{outcome: r, addr: addr}
	c.emit(SendPut{Call: c.lastCall, Addr: addr, Body: PutBody{Journal: r.journal, Item: r.item}})
}

// handleOutcomeResult processes the result of one attempt to record an outcome. If
// the home VM did not record it, the next attempt writes it from this process. If
// this process failed to write it, all outcomes wait for the backoff.
func (c *Core) handleOutcomeResult(r *outcomeWrite, v Verdict, fromPeer bool) {
	if !r.inFlight {
		return
	}
	ok := v != Unavailable
	ran := r.item.Outcome.Run != result.NotRun
	invariant.Check(!ran || v != ClaimMissing, invariant.AtMostOnce, "the claim of run %s is not in its journal", r.item.Digest)
	r.inFlight = false
	q := &c.outcomes
	q.inFlight--
	if ok {
		q.backoff = 0
	}
	if !ok && c.now.Before(r.expires) {
		r.bypassHome = fromPeer
		if !fromPeer || r.journal.VM != "" {
			q.backoff = min(max(2*q.backoff, minOutcomeBackoff), maxOutcomeBackoff)
			q.pausedUntil = c.now.Add(q.backoff)
		}
		return
	}
	r.done = true
	e := c.entries[r.item.Digest]
	if e != nil && e.phase == phaseEnded && e.claimNumber == r.item.Claimer.Number {
		delete(c.entries, e.digest)
	}
	if v != OutcomeRecorded && ran && len(c.lostOutcomes) < maxLostOutcomes {
		c.lostOutcomes[r.item.Claimer.Number] = struct{}{}
	}
	if !ok {
		c.emit(RecordEvent{Name: "claims.outcome_lost", Digest: r.item.Digest})
	}
}
