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
	claiming phase = iota
	// joining: another process holds the claim and was asked about it.
	joining
	// running: the claim is ours and the work has been started.
	running
	// ended: the work has ended; its outcome is being recorded.
	ended
)

// entry is a unit of work that concerns this process now. There is at most
// one for a digest; later arrivals wait at it.
type entry struct {
	digest   Digest
	print    uint64
	journal  JournalID
	phase    phase
	number   uint64
	item     Item
	waiters  []ArrivalID
	request  string
	deadline time.Time
	// giveUp is when a claim not yet granted is given up.
	giveUp time.Time
	// asked is true once the claimer that stands was asked in vain.
	asked bool
	// direct is true once the home VM did not answer.
	direct  bool
	outcome Outcome
	joins   []uint64 // peer calls that wait for the outcome
}

// wait is a time at which a claim in progress is given up.
type wait struct {
	digest Digest
	number uint64
	giveUp time.Time
}

// claim sends a claim with a new number to the journal.
func (c *Core) claim(e *entry, supersedes Claimer, fresh bool) {
	c.number++
	e.number = c.number
	e.phase = claiming
	e.item = Item{Digest: e.digest, Print: e.print, Claimer: c.self(e.number), Supersedes: supersedes}
	if e.giveUp.IsZero() {
		e.giveUp = c.now.Add(c.limits.ClaimTimeout)
	}
	c.watch(wait{digest: e.digest, number: e.number, giveUp: e.giveUp})
	c.put(e, fresh)
}

// watch keeps the waits in the order of their ends.
func (c *Core) watch(w wait) {
	c.waits = append(c.waits, w)
	for i := len(c.waits) - 1; i > 0 && w.giveUp.Before(c.waits[i-1].giveUp); i-- {
		c.waits[i], c.waits[i-1] = c.waits[i-1], c.waits[i]
	}
}

// put hands the entry's item to the journal's home, or applies it here.
func (c *Core) put(e *entry, fresh bool) {
	addr, remote := c.home(e.journal)
	if e.journal.VM != "" {
		if !remote {
			c.verdict(e, c.putTicket(e.item))
			return
		}
		if addr == "" {
			c.settled(e, PutAnswer{Verdict: NotTicketIssuer})
			return
		}
	} else if !remote || e.direct {
		c.enqueue(e.journal, queued{item: e.item, local: true}, fresh)
		return
	}
	c.call++
	c.calls[c.call] = &outgoing{digest: e.digest, number: e.number, addr: addr}
	c.do(SendPut{Call: c.call, Addr: addr, Body: PutBody{Journal: e.journal, Item: e.item, BypassCache: fresh}})
}

func (c *Core) putDone(m PutDone) {
	o := c.calls[m.Call]
	delete(c.calls, m.Call)
	if o == nil {
		return
	}
	if m.Failed {
		c.members.avoid(o.addr, c.now.Add(avoidTime))
	}
	if o.report != nil {
		if m.Failed {
			m.Body.Verdict = Unavailable
		}
		c.reported(o.report, m.Body.Verdict, true)
		return
	}
	e := c.entries[o.digest]
	if e == nil || e.phase != claiming || e.number != o.number {
		return
	}
	if e.journal.VM == "" && (m.Failed || m.Body.Verdict == Unavailable) {
		// The home may or may not have written the claim, and may still do so.
		// It would be written under the same claimer, so it is safe to write it
		// here too: whichever comes second finds the first.
		e.direct = true
		c.put(e, true)
		return
	}
	if m.Failed {
		m.Body = PutAnswer{Verdict: Unavailable}
	}
	c.verdict(e, m.Body)
}

// verdict takes the journal's answer to the entry's claim.
func (c *Core) verdict(e *entry, a PutAnswer) {
	if a.Verdict == ClaimedByOther {
		c.taken(e, a.Record)
		return
	}
	if a.Verdict != Granted {
		c.settled(e, a)
		return
	}
	if !e.deadline.IsZero() && !c.now.Before(e.deadline) {
		// The process may have been paused since the request came in. The claim
		// is still ours alone; nobody waits for the work any more.
		c.note(e, "claims.late", "")
		c.release(e, result.DeadlineExceeded)
		c.answerAll(e, Outcome{}, result.New(result.DeadlineExceeded, "the deadline passed before the run").WithRun(result.NotRun))
		return
	}
	invariant.Check(e.phase == claiming, invariant.AtMostOnce, "claim %d of %s is granted in phase %d", e.number, e.digest, e.phase)
	e.phase = running
	c.note(e, "claims.granted", "")
	c.do(Start{Arrival: e.waiters[0], Digest: e.digest, Number: e.number, Deadline: e.deadline})
}

// settled ends an entry whose claim was not granted and will not be.
func (c *Core) settled(e *entry, a PutAnswer) {
	err := unavailable("the claim could not be written")
	switch a.Verdict {
	case JournalFull:
		err = unavailable("the journal of the key's issue time is full")
	case JournalClosed:
		err = result.New(result.KeyExpired, "the journal of the key's issue time is closed")
	case NotTicketIssuer:
		err = result.New(result.TicketForeign, "the run ticket's VM is gone or does not know it")
	case Unavailable:
		c.release(e, result.ClaimUnavailable)
		if e.journal.VM != "" {
			err = result.New(result.TicketForeign, "the run ticket's VM does not answer")
		}
	}
	c.note(e, "claims.refused", err.Error())
	c.answerAll(e, Outcome{}, err)
}

// ended takes the outcome of a run. It is answered at once and recorded after:
// a crash in between turns later arrivals' answer into RunUnknown, no worse.
func (c *Core) ended(m RunEnded) {
	e := c.entries[m.Digest]
	ok := e != nil && e.phase == running && e.number == m.Number
	invariant.Check(ok, invariant.AtMostOnce, "a run of %s ended that is not in progress", m.Digest)
	if !ok {
		return
	}
	e.outcome = m.Outcome
	if m.Outcome.Run == result.NotRun {
		c.note(e, "claims.released", m.Outcome.Code.Info().Name)
		c.release(e, m.Outcome.Code)
		c.answerAll(e, m.Outcome, nil)
		return
	}
	e.phase = ended
	c.note(e, "claims.ended", string(m.Outcome.Run))
	c.report(e, store(m.Outcome), c.limits.Window)
	c.tell(e, m.Outcome, nil)
}

// release records that the claim never ran, so that a resend may claim anew.
func (c *Core) release(e *entry, code result.Code) {
	c.report(e, &StoredOutcome{Run: result.NotRun, Code: code, Kept: true}, abandonedKeep)
}

// answerAll answers every arrival and forgets the entry.
func (c *Core) answerAll(e *entry, out Outcome, err error) {
	delete(c.entries, e.digest)
	c.tell(e, out, err)
}

func (c *Core) tell(e *entry, out Outcome, err error) {
	for i, id := range e.waiters {
		if i > 0 {
			out.Replayed = true
		}
		c.do(Answer{Arrival: id, Outcome: out, Err: err})
	}
	e.waiters = nil
	for _, call := range e.joins {
		c.do(ReplyJoin{Call: call, Body: c.fate(e)})
	}
	e.joins = nil
}

// expireEntries gives up claims that took too long. A late grant finds no
// entry with its number and is ignored.
func (c *Core) expireEntries() {
	for len(c.waits) > 0 && !c.now.Before(c.waits[0].giveUp) {
		w := c.waits[0]
		c.waits = c.waits[1:]
		e := c.entries[w.digest]
		if e != nil && e.number == w.number && e.phase == claiming {
			c.settled(e, PutAnswer{Verdict: Unavailable})
		}
	}
}

func (c *Core) note(e *entry, name, detail string) {
	c.do(RecordEvent{Request: e.request, Name: name, Digest: e.digest, Detail: detail})
}
