package claims

import (
	"time"

	"github.com/cranberrypier/cranberrypier/internal/result"
)

// taken deals with a journal that holds another claim.
func (c *Core) taken(e *entry, r Record) {
	k := r.Claimer
	switch {
	case r.Print != e.print:
		c.answerAll(e, Outcome{}, result.New(result.KeyReused, "the key stands for another request"))
	case r.Outcome != nil && r.Outcome.Run == result.NotRun:
		c.claim(e, k, false)
	case r.Outcome != nil:
		c.note(e, "claims.replayed", "")
		c.answerAll(e, r.Outcome.outcome(), nil)
	case c.mine(k) && c.disowns(k.Number):
		// Had this process started number k, the digest's entry would be in
		// phase running or ended and no claim would have been sent, or its
		// number would be kept as unrecorded. Numbers are not reused, so k
		// never ran and never will. Had it ended and been
		// recorded long ago, the journal holds an outcome by now and the
		// conditional write fails.
		c.claim(e, k, false)
	default:
		c.ask(e, r)
	}
}

// ask asks the claimer that stands; in vain once, the journal is read anew for
// an outcome; in vain twice, the work may have run.
func (c *Core) ask(e *entry, r Record) {
	if e.asked {
		c.note(e, "claims.unknown", r.Claimer.VM)
		err := result.New(result.RunUnknown, "VM %s may have run the request", r.Claimer.VM)
		c.answerAll(e, Outcome{}, err.WithRetryAfter(2*time.Second))
		return
	}
	addr := c.members.router(r.Claimer.VM)
	if addr == "" || r.Claimer.VM == c.vm {
		e.asked = true
		c.claim(e, Claimer{}, true)
		return
	}
	e.phase = joining
	e.giveUp = time.Time{}
	c.call++
	c.calls[c.call] = &outgoing{digest: e.digest, number: e.number}
	c.do(SendJoin{
		Call: c.call, Addr: addr, Deadline: e.deadline,
		Body: JoinBody{Digest: e.digest, Claimer: r.Claimer},
	})
	e.item.Supersedes = r.Claimer
}

func (c *Core) joinDone(m JoinDone) {
	o := c.calls[m.Call]
	delete(c.calls, m.Call)
	if o == nil {
		return
	}
	e := c.entries[o.digest]
	if e == nil || e.phase != joining || e.number != o.number {
		return
	}
	if m.Failed || m.Body.Status == StatusUnknown {
		e.asked = true
		c.claim(e, Claimer{}, true)
		return
	}
	if m.Body.Status == StatusAbandoned {
		c.claim(e, e.item.Supersedes, false)
		return
	}
	c.note(e, "claims.joined", e.item.Supersedes.VM)
	out := m.Body.Outcome
	out.Replayed = true
	c.answerAll(e, out, nil)
}

// fate is what became of the entry's claim, for the process that asked.
func (c *Core) fate(e *entry) JoinAnswer {
	if e.phase == ended {
		return JoinAnswer{Status: StatusEnded, Outcome: e.outcome}
	}
	return JoinAnswer{Status: StatusAbandoned}
}

// peerJoin answers for this process' own claims. A number without an entry is
// abandoned, or its outcome is in the journal, where a conditional write meets
// it; see taken.
func (c *Core) peerJoin(m PeerJoin) {
	e := c.entries[m.Body.Digest]
	gone := e == nil || e.number != m.Body.Claimer.Number
	if !c.mine(m.Body.Claimer) || gone && !c.disowns(m.Body.Claimer.Number) {
		c.do(ReplyJoin{Call: m.Call, Body: JoinAnswer{Status: StatusUnknown}})
		return
	}
	switch {
	case gone:
		c.do(ReplyJoin{Call: m.Call, Body: JoinAnswer{Status: StatusAbandoned}})
	case e.phase == ended:
		c.do(ReplyJoin{Call: m.Call, Body: c.fate(e)})
	default:
		e.joins = append(e.joins, m.Call)
	}
}
