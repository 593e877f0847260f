package claims

import (
	"time"

	"github.com/cranberrypier/cranberrypier/internal/invariant"
	"github.com/cranberrypier/cranberrypier/internal/result"
)

// phase is how far a unit of work has come at this process.
type phase uint8

const (
	// claiming: an item with the entry's number is on its way to the journal.
	phaseClaiming phase = iota
	// joining: another process holds the claim and was asked about it.
	phaseJoining
	// running: the claim is ours and the work has been started.
	phaseRunning
	// ended: the work has ended; its outcome is being recorded.
	phaseEnded
)

// entry is a unit of work that concerns this process now. There is at most
// one for a digest; later arrivals wait at it.
type entry struct {
	digest      Digest
	fingerprint uint64
	journal     JournalID
	phase       phase
	number      uint64
	item        Item
	waiters     []ArrivalID
	request     string
	deadline    time.Time
	// giveUp is when a claim not yet granted is given up.
	claimDeadline time.Time
	// asked is true once the claimer that stands was asked in vain.
	joinFailed bool
	// direct is true once the home VM did not answer.
	bypassHome bool
	outcome    Outcome
	joinCalls  []uint64 // peer calls that wait for the outcome
}

// wait is a time at which a claim in progress is given up.
type pendingClaim struct {
	digest   Digest
	number   uint64
	deadline time.Time
}

// claim sends a claim with a new number to the journal.
func (c *Core) claim(e *entry, supersedes Claimer, bypassCache bool) {
	c.lastNumber++
	e.number = c.lastNumber
	e.phase = phaseClaiming
	e.item = Item{Digest: e.digest, Print: e.fingerprint, Claimer: c.ownClaimer(e.number), Supersedes: supersedes}
	if e.claimDeadline.IsZero() {
		e.claimDeadline = c.now.Add(c.limits.ClaimTimeout)
	}
	c.addPendingClaim(pendingClaim{digest: e.digest, number: e.number, deadline: e.claimDeadline})
	c.putItem(e, bypassCache)
}

// watch keeps the waits in the order of their ends.
func (c *Core) addPendingClaim(p pendingClaim) {
	c.pendingClaims = append(c.pendingClaims, p)
	for i := len(c.pendingClaims) - 1; i > 0 && p.deadline.Before(c.pendingClaims[i-1].deadline); i-- {
		c.pendingClaims[i], c.pendingClaims[i-1] = c.pendingClaims[i-1], c.pendingClaims[i]
	}
}

// put hands the entry's item to the journal's home, or applies it here.
func (c *Core) putItem(e *entry, bypassCache bool) {
	addr, remote := c.home(e.journal)
	if e.journal.VM != "" {
		if !remote {
			c.handleVerdict(e, c.applyTicketItem(e.item))
			return
		}
		if addr == "" {
			c.rejectClaim(e, PutAnswer{Verdict: Foreign})
			return
		}
	} else if !remote || e.bypassHome {
		c.enqueue(e.journal, queuedItem{item: e.item, local: true}, bypassCache)
		return
	}
	c.lastCall++
	c.peerCalls[c.lastCall] = &peerCall{digest: e.digest, number: e.number, addr: addr}
	c.emit(SendPut{Call: c.lastCall, Addr: addr, Body: PutBody{Journal: e.journal, Item: e.item, Fresh: bypassCache}})
}

func (c *Core) handlePutDone(m PutDone) {
	o := c.peerCalls[m.Call]
	delete(c.peerCalls, m.Call)
	if o == nil {
		return
	}
	if m.Failed {
		c.members.avoid(o.addr, c.now.Add(avoidTTL))
	}
	if o.report != nil {
		if m.Failed {
			m.Body.Verdict = Unavailable
		}
		c.handleReportResult(o.report, m.Body.Verdict, true)
		return
	}
	e := c.entries[o.digest]
	if e == nil || e.phase != phaseClaiming || e.number != o.number {
		return
	}
	if e.journal.VM == "" && (m.Failed || m.Body.Verdict == Unavailable) {
		// The home may or may not have written the claim, and may still do so.
		// It would be written under the same claimer, so it is safe to write it
		// here too: whichever comes second finds the first.
		e.bypassHome = true
		c.putItem(e, true)
		return
	}
	if m.Failed {
		m.Body = PutAnswer{Verdict: Unavailable}
	}
	c.handleVerdict(e, m.Body)
}

// verdict takes the journal's answer to the entry's claim.
func (c *Core) handleVerdict(e *entry, a PutAnswer) {
	if a.Verdict == Taken {
		c.handleTaken(e, a.Record)
		return
	}
	if a.Verdict != Granted {
		c.rejectClaim(e, a)
		return
	}
	if !e.deadline.IsZero() && !c.now.Before(e.deadline) {
		// The process may have been paused since the request came in. The claim
		// is still ours alone; nobody waits for the work any more.
		c.recordEvent(e, "claims.late", "")
		c.release(e, result.DeadlineExceeded)
		c.answerAndRemove(e, Outcome{}, result.New(result.DeadlineExceeded, "the deadline passed before the run").WithRun(result.NotRun))
		return
	}
	invariant.Check(e.phase == phaseClaiming, invariant.AtMostOnce, "claim %d of %s is granted in phase %d", e.number, e.digest, e.phase)
	e.phase = phaseRunning
	c.recordEvent(e, "claims.granted", "")
	c.emit(Start{Arrival: e.waiters[0], Digest: e.digest, Number: e.number, Deadline: e.deadline})
}

// settled ends an entry whose claim was not granted and will not be.
func (c *Core) rejectClaim(e *entry, a PutAnswer) {
	err := unavailable("the claim could not be written")
	switch a.Verdict {
	case Full:
		err = unavailable("the journal of the key's issue time is full")
	case Expired:
		err = result.New(result.KeyExpired, "the journal of the key's issue time is closed")
	case Foreign:
		err = result.New(result.TicketForeign, "the run ticket's VM is gone or does not know it")
	case Unavailable:
		c.release(e, result.ClaimUnavailable)
		if e.journal.VM != "" {
			err = result.New(result.TicketForeign, "the run ticket's VM does not answer")
		}
	}
	c.recordEvent(e, "claims.refused", err.Error())
	c.answerAndRemove(e, Outcome{}, err)
}

// ended takes the outcome of a run. It is answered at once and recorded after:
// a crash in between turns later arrivals' answer into RunUnknown, no worse.
func (c *Core) handleRunEnded(m RunEnded) {
	e := c.entries[m.Digest]
	ok := e != nil && e.phase == phaseRunning && e.number == m.Number
	invariant.Check(ok, invariant.AtMostOnce, "a run of %s ended that is not in progress", m.Digest)
	if !ok {
		return
	}
	e.outcome = m.Outcome
	if m.Outcome.Run == result.NotRun {
		c.recordEvent(e, "claims.released", m.Outcome.Code.Info().Name)
		c.release(e, m.Outcome.Code)
		c.answerAndRemove(e, m.Outcome, nil)
		return
	}
	e.phase = phaseEnded
	c.recordEvent(e, "claims.ended", string(m.Outcome.Run))
	c.queueReport(e, storedOutcome(m.Outcome), c.limits.Window)
	c.answerWaiters(e, m.Outcome, nil)
}

// release records that the claim never ran, so that a resend may claim anew.
func (c *Core) release(e *entry, code result.Code) {
	c.queueReport(e, &Stored{Run: result.NotRun, Code: code, Kept: true}, releaseReportTTL)
}

// answerAll answers every arrival and forgets the entry.
func (c *Core) answerAndRemove(e *entry, out Outcome, err error) {
	delete(c.entries, e.digest)
	c.answerWaiters(e, out, err)
}

func (c *Core) answerWaiters(e *entry, out Outcome, err error) {
	for i, id := range e.waiters {
		if i > 0 {
			out.Replayed = true
		}
		c.emit(Answer{Arrival: id, Outcome: out, Err: err})
	}
	e.waiters = nil
	for _, call := range e.joinCalls {
		c.emit(ReplyJoin{Call: call, Body: c.joinAnswer(e)})
	}
	e.joinCalls = nil
}

// expireEntries gives up claims that took too long. A late grant finds no
// entry with its number and is ignored.
func (c *Core) expireClaims() {
	for len(c.pendingClaims) > 0 && !c.now.Before(c.pendingClaims[0].deadline) {
		p := c.pendingClaims[0]
		c.pendingClaims = c.pendingClaims[1:]
		e := c.entries[p.digest]
		if e != nil && e.number == p.number && e.phase == phaseClaiming {
			c.rejectClaim(e, PutAnswer{Verdict: Unavailable})
		}
	}
}

func (c *Core) recordEvent(e *entry, name, detail string) {
	c.emit(Note{Request: e.request, Name: name, Digest: e.digest, Detail: detail})
}
