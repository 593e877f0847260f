package claims

import (
	"time"

	"github.com/cranberrypier/cranberrypier/internal/invariant"
	"github.com/cranberrypier/cranberrypier/internal/result"
)

// phase is the progress of a unit of work at this process.
type phase uint8

const (
	// phaseClaiming: a claim with the entry's number was sent to the journal and
	// has no verdict yet.
	phaseClaiming phase = iota
	// phaseJoining: another process holds the claim and was asked for its
	// outcome.
	phaseJoining
	// phaseRunning: this process holds the claim and has started the work.
	phaseRunning
	// phaseEnded: the work has ended and its outcome is being recorded.
	phaseEnded
)

// entry is a unit of work in progress at this process. A digest has at most one
// entry; later arrivals of the digest are added to its waiters.
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
	// claimDeadline is when a claim that has no verdict times out.
	claimDeadline time.Time
	// joinFailed is true once the process that holds the claim could not be
	// asked, did not answer or did not know the outcome.
	joinFailed bool
	// bypassHome is true once the home VM did not answer or could not write the
	// claim. This process then writes the claim itself.
	bypassHome bool
	outcome    Outcome
	joinCalls  []uint64 // calls of peers that wait for the outcome
}

// pendingClaim holds the deadline of a claim in progress.
type pendingClaim struct {
	digest   Digest
	number   uint64
	deadline time.Time
}

// claim sends a claim with a new number to the journal. The claim replaces that
// of supersedes, if set. With bypassCache, the verdict is based on the stored
// journal and not on a cached copy.
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

// addPendingClaim inserts p into pendingClaims, which is sorted by deadline.
func (c *Core) addPendingClaim(p pendingClaim) {
	c.pendingClaims = append(c.pendingClaims, p)
	for i := len(c.pendingClaims) - 1; i > 0 && p.deadline.Before(c.pendingClaims[i-1].deadline); i-- {
		c.pendingClaims[i], c.pendingClaims[i-1] = c.pendingClaims[i-1], c.pendingClaims[i]
	}
}

// putItem sends the entry's item to the journal's home VM. It applies the item
// here if this VM is the home or the home is bypassed.
func (c *Core) putItem(e *entry, bypassCache bool) {
	addr, remote := c.home(e.journal)
	if e.journal.VM != "" {
		if !remote {
			c.handleVerdict(e, c.applyTicketItem(e.item))
			return
		}
		if addr == "" {
			c.rejectClaim(e, PutAnswer{Verdict: NotTicketIssuer})
			return
		}
	} else if !remote || e.bypassHome {
		c.enqueue(e.journal, queuedItem{item: e.item, local: true}, bypassCache)
		return
	}
	c.lastCall++
	c.peerCalls[c.lastCall] = &peerCall{digest: e.digest, number: e.number, addr: addr}
	c.emit(SendPut{Call: c.lastCall, Addr: addr, Body: PutBody{Journal: e.journal, Item: e.item, BypassCache: bypassCache}})
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
		// Both processes write it with the same claimer, so this process can
		// safely write it too: the second write finds the claim of the first.
		e.bypassHome = true
		c.putItem(e, true)
		return
	}
	if m.Failed {
		m.Body = PutAnswer{Verdict: Unavailable}
	}
	c.handleVerdict(e, m.Body)
}

// handleVerdict processes the journal's verdict on the entry's claim.
func (c *Core) handleVerdict(e *entry, a PutAnswer) {
	if a.Verdict == ClaimedByOther {
		c.handleClaimedByOther(e, a.Record)
		return
	}
	if a.Verdict != Granted {
		c.rejectClaim(e, a)
		return
	}
	if !e.deadline.IsZero() && !c.now.Before(e.deadline) {
		// The process may have been suspended since the request arrived. Only
		// this process holds the claim, but no caller waits for the work any
		// more.
		c.recordEvent(e, "claims.late", "")
		c.release(e, result.DeadlineExceeded)
		c.answerAndRemove(e, Outcome{}, result.New(result.DeadlineExceeded, "the deadline passed before the work was started").WithRun(result.NotRun))
		return
	}
	invariant.Check(e.phase == phaseClaiming, invariant.AtMostOnce, "claim %d of %s is granted in phase %d", e.number, e.digest, e.phase)
	e.phase = phaseRunning
	c.recordEvent(e, "claims.granted", "")
	c.emit(Start{Arrival: e.waiters[0], Digest: e.digest, ClaimNumber: e.number, Deadline: e.deadline})
}

// rejectClaim ends an entry whose claim was not granted and will not be.
func (c *Core) rejectClaim(e *entry, a PutAnswer) {
	err := unavailable("the claim could not be written")
	switch a.Verdict {
	case JournalFull:
		err = unavailable("the journal of the key's issue time is full")
	case JournalClosed:
		err = result.New(result.IdempotencyKeyExpired, "the journal of the key's issue time is closed")
	case NotTicketIssuer:
		err = result.New(result.TicketForeign, "the VM that issued the run ticket is unknown or has restarted")
	case Unavailable:
		c.release(e, result.ClaimUnavailable)
		if e.journal.VM != "" {
			err = result.New(result.TicketForeign, "the VM that issued the run ticket did not answer")
		}
	}
	c.recordEvent(e, "claims.refused", err.Error())
	c.answerAndRemove(e, Outcome{}, err)
}

// handleRunEnded processes the outcome of a run. It answers the arrivals at once
// and records the outcome afterwards. If the process crashes in between, later
// arrivals get RunUnknown; the work does not run again.
func (c *Core) handleRunEnded(m RunEnded) {
	e := c.entries[m.Digest]
	ok := e != nil && e.phase == phaseRunning && e.number == m.ClaimNumber
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
	c.queueReport(e, storedOutcome(m.Outcome), c.limits.MaxKeyAge)
	c.answerWaiters(e, m.Outcome, nil)
}

// release records that the work of the claim never ran, so that a later arrival
// can claim it again.
func (c *Core) release(e *entry, code result.Code) {
	c.queueReport(e, &StoredOutcome{Run: result.NotRun, Code: code, Kept: true}, releaseReportTTL)
}

// answerAndRemove answers all waiting arrivals and removes the entry.
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

// expireClaims rejects claims that had no verdict within Limits.ClaimTimeout. A
// later grant finds no entry with its number and is ignored.
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
	c.emit(RecordEvent{Request: e.request, Name: name, Digest: e.digest, Detail: detail})
}
