package claims

import (
	"time"

	"github.com/cranberrypier/cranberrypier/internal/result"
)

// handleClaimedByOther handles the verdict that the journal holds another claim.
func (c *Core) handleClaimedByOther(e *entry, r Record) {
	claimer := r.Claimer
	switch {
	case r.Print != e.fingerprint:
		c.answerAndRemove(e, Outcome{}, result.New(result.IdempotencyKeyReused, "the key was already used for another request"))
	case r.Outcome != nil && r.Outcome.Run == result.NotRun:
		c.claim(e, claimer, false)
	case r.Outcome != nil:
		c.recordEvent(e, "claims.replayed", "")
		c.answerAndRemove(e, r.Outcome.outcome(), nil)
	case c.isOwn(claimer) && c.neverStarted(claimer.Number):
		// If this process had started the claimer's number, the digest's entry
		// would be in phaseRunning or phaseEnded and no claim would have been
		// sent, or the number would be in unrecorded. Numbers are not reused, so
		// this number never ran and never will. If it ended and was recorded
		// long ago, the journal holds its outcome by now and the conditional
		// write fails.
		c.claim(e, claimer, false)
	default:
		c.queryClaimer(e, r)
	}
}

// queryClaimer asks the process that holds the claim for its outcome. If that
// fails once, the journal is read again, because it may hold the outcome by now.
// If it fails twice, the work may have run.
func (c *Core) queryClaimer(e *entry, r Record) {
	if e.joinFailed {
		c.recordEvent(e, "claims.unknown", r.Claimer.VM)
		err := result.New(result.RunUnknown, "VM %s may have run the request", r.Claimer.VM)
		c.answerAndRemove(e, Outcome{}, err.WithRetryAfter(2*time.Second))
		return
	}
	addr := c.members.routerAddr(r.Claimer.VM)
	if addr == "" || r.Claimer.VM == c.vm {
		e.joinFailed = true
		c.claim(e, Claimer{}, true)
		return
	}
	e.phase = phaseJoining
	e.claimDeadline = time.Time{}
	c.lastCall++
	c.peerCalls[c.lastCall] = &peerCall{digest: e.digest, number: e.number}
	c.emit(SendJoin{
		Call: c.lastCall, Addr: addr, Deadline: e.deadline,
		Body: JoinBody{Digest: e.digest, Claimer: r.Claimer},
	})
	e.item.Supersedes = r.Claimer
}

func (c *Core) handleJoinDone(m JoinDone) {
	o := c.peerCalls[m.Call]
	delete(c.peerCalls, m.Call)
	if o == nil {
		return
	}
	e := c.entries[o.digest]
	if e == nil || e.phase != phaseJoining || e.number != o.number {
		return
	}
	if m.Failed || m.Body.Status == StatusUnknown {
		e.joinFailed = true
		c.claim(e, Claimer{}, true)
		return
	}
	if m.Body.Status == StatusAbandoned {
		c.claim(e, e.item.Supersedes, false)
		return
	}
	c.recordEvent(e, "claims.joined", e.item.Supersedes.VM)
	out := m.Body.Outcome
	out.Replayed = true
	c.answerAndRemove(e, out, nil)
}

// joinAnswer returns the answer to a peer that asked for the outcome of the
// entry's claim.
func (c *Core) joinAnswer(e *entry) JoinAnswer {
	if e.phase == phaseEnded {
		return JoinAnswer{Status: StatusEnded, Outcome: e.outcome}
	}
	return JoinAnswer{Status: StatusAbandoned}
}

// handlePeerJoin answers a peer that asks about a claim of this process. A number
// without an entry is abandoned, or its outcome is in the journal, in which case
// the peer's conditional write fails; see handleClaimedByOther.
func (c *Core) handlePeerJoin(m PeerJoin) {
	e := c.entries[m.Body.Digest]
	noEntry := e == nil || e.number != m.Body.Claimer.Number
	if !c.isOwn(m.Body.Claimer) || noEntry && !c.neverStarted(m.Body.Claimer.Number) {
		c.emit(ReplyJoin{Call: m.Call, Body: JoinAnswer{Status: StatusUnknown}})
		return
	}
	switch {
	case noEntry:
		c.emit(ReplyJoin{Call: m.Call, Body: JoinAnswer{Status: StatusAbandoned}})
	case e.phase == phaseEnded:
		c.emit(ReplyJoin{Call: m.Call, Body: c.joinAnswer(e)})
	default:
		e.joinCalls = append(e.joinCalls, m.Call)
	}
}
