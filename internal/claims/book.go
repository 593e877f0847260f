package claims

import (
	"slices"
	"time"

	"github.com/cranberrypier/cranberrypier/internal/platform"
	"github.com/cranberrypier/cranberrypier/internal/result"
)

// book is this process' view of one journal and the items that it is to write.
// At most one store call a journal is in progress. The cached journal may be
// old: it never grants anything by itself, since a grant that changes the
// journal counts only after the conditional write succeeded.
type book struct {
	id      JournalID
	cached  *journal // nil when it has to be read
	version platform.Version
	queue   []queued
	flight  []queued  // items of the call in progress
	results []decided // their verdicts if the write in progress succeeds
	op      uint64    // the store call in progress, or zero
	due     time.Time
	last    time.Time // start of the last write
	used    time.Time
	fails   int // conflicts and lost answers since the last success
}

// queued is an item that waits, and who wants its verdict: a claim of this
// process, a report, or a peer call.
type queued struct {
	item   Item
	local  bool
	report *report
	call   uint64
}

// decided is the verdict on a queued item.
type decided struct {
	verdict Verdict
	record  Record
}

// maxFails bounds how often one batch is tried again after conflicts.
const maxFails = 20

func (b *book) idle() bool { return b.op == 0 && len(b.queue) == 0 }

func (b *book) nextDue() time.Time {
	if b.op != 0 || len(b.queue) == 0 {
		return time.Time{}
	}
	return b.due
}

func (c *Core) book(id JournalID) *book {
	b := c.books[id]
	if b == nil {
		b = &book{id: id}
		c.books[id] = b
		c.order = append(c.order, b)
	}
	return b
}

func (c *Core) dropIdle() {
	kept := c.order[:0]
	for _, b := range c.order {
		if b.idle() && c.now.Sub(b.used) > journalIdle {
			delete(c.books, b.id)
			continue
		}
		kept = append(kept, b)
	}
	clear(c.order[len(kept):])
	c.order = kept
}

// enqueue adds an item to a journal's next write. The first item after a pause
// is written at once; those that come within Interval of a write share the next.
func (c *Core) enqueue(id JournalID, q queued, fresh bool) {
	if c.now.Before(c.downUntil) {
		c.deliver(q, decided{verdict: Unavailable})
		return
	}
	b := c.book(id)
	if len(b.queue) >= maxQueue {
		c.deliver(q, decided{verdict: Unavailable})
		return
	}
	b.used = c.now
	if fresh && b.op == 0 {
		b.cached = nil
	}
	gap := c.gap()
	due := c.now.Add(gap - c.limits.WriteInterval)
	if next := b.last.Add(gap); next.After(due) {
		due = next
	}
	if q.item.Outcome != nil && !c.flushing {
		due = c.now.Add(c.limits.OutcomeDelay)
	}
	if len(b.queue) == 0 || due.Before(b.due) {
		b.due = due
	}
	b.queue = append(b.queue, q)
}

// advance starts the next store call of a journal if one is due.
func (c *Core) advance(b *book) {
	if b.op != 0 || len(b.queue) == 0 || c.now.Before(b.due) {
		return
	}
	c.op++
	b.op = c.op
	b.used = c.now
	if b.cached == nil {
		c.do(ReadJournal{Op: b.op, Journal: b.id})
		return
	}
	c.write(b, false)
}

// write applies the queue to the cached journal and writes the result. Items
// that change nothing are answered without a call, but for outcomes whose claim
// is missing: an old cache may lack the claim, and an outcome taken for settled
// is forgotten by its claimer, which would then disown its run. They need a
// journal that was just read.
func (c *Core) write(b *book, fresh bool) {
	b.flight, b.queue, b.results = b.queue, nil, nil
	changes, doubts := 0, false
	for _, q := range b.flight {
		v, r, changed := b.cached.apply(q.item)
		b.results = append(b.results, decided{verdict: v, record: r})
		doubts = doubts || v == ClaimMissing
		if changed {
			changes++
		}
	}
	if changes == 0 && doubts && !fresh {
		b.queue, b.flight, b.results, b.cached = b.flight, nil, nil, nil
		c.do(ReadJournal{Op: b.op, Journal: b.id})
		return
	}
	if changes == 0 {
		c.finish(b)
		return
	}
	value, err := b.cached.encode()
	if err != nil || len(value) > platform.MaxValueBytes {
		b.cached = nil
		c.fail(b)
		return
	}
	b.last = c.now
	c.pace.spend(c.now, c.share())
	c.do(WriteJournal{Op: b.op, Journal: b.id, BaseVersion: b.version, Value: value, Items: changes})
}

func (c *Core) read(m StoreRead) {
	b := c.books[m.Journal]
	if b == nil || b.op != m.Op {
		return
	}
	if m.Err != nil {
		c.down()
		c.fail(b)
		return
	}
	j := newJournal(objectRoom)
	if m.Object.Version != 0 {
		var err error
		if j, err = decodeJournal(m.Object.Value); err != nil {
			c.fail(b)
			return
		}
	}
	b.cached = j
	b.version = m.Object.Version
	c.write(b, true)
}

func (c *Core) written(m StoreWritten) {
	b := c.books[m.Journal]
	if b == nil || b.op != m.Op {
		return
	}
	switch {
	case m.Err == nil:
		b.version = m.Version
		b.fails = 0
		c.finish(b)
	case result.Is(m.Err, result.PlatformConflict),
		result.Is(m.Err, result.PlatformNotFound),
		result.Is(m.Err, result.PlatformUnsure):
		c.again(b)
	default:
		b.cached = nil
		c.down()
		c.fail(b)
	}
}

// again settles a write that met another one or whose answer was lost: the
// journal is read, and each item finds its own claimer in it or is tried anew.
func (c *Core) again(b *book) {
	b.cached = nil
	b.fails++
	if b.fails > maxFails {
		b.fails = 0
		c.fail(b)
		return
	}
	b.queue = slices.Concat(b.flight, b.queue)
	b.flight, b.results, b.op = nil, nil, 0
	b.due = c.now
}

// finish delivers the verdicts of the batch.
func (c *Core) finish(b *book) {
	flight, results := b.flight, b.results
	c.endCall(b)
	for i, q := range flight {
		c.deliver(q, results[i])
	}
}

// fail answers every item of a journal that it is unavailable.
func (c *Core) fail(b *book) {
	all := slices.Concat(b.flight, b.queue)
	b.queue = nil
	c.endCall(b)
	for _, q := range all {
		c.deliver(q, decided{verdict: Unavailable})
	}
}

func (c *Core) endCall(b *book) {
	b.flight, b.results, b.op = nil, nil, 0
	if len(b.queue) > 0 {
		b.due = b.last.Add(c.gap())
	}
}

// down opens the circuit breaker for a moment.
func (c *Core) down() { c.downUntil = c.now.Add(breakerPause) }

func (c *Core) deliver(q queued, d decided) {
	switch {
	case q.report != nil:
		c.reported(q.report, d.verdict, false)
	case q.local:
		e := c.entries[q.item.Digest]
		if e != nil && e.phase == claiming && e.number == q.item.Claimer.Number {
			c.verdict(e, PutAnswer{Verdict: d.verdict, Record: d.record})
		}
	default:
		c.do(ReplyPut{Call: q.call, Body: PutAnswer{Verdict: d.verdict, Record: d.record}})
	}
}

// peerPut applies an item for another process. A VM that is not the home by
// its own view writes all the same: the store decides between two homes.
func (c *Core) peerPut(m PeerPut) {
	id := m.Body.Journal
	if !m.Body.Item.valid() {
		c.do(ReplyPut{Call: m.Call, Body: PutAnswer{Verdict: Unavailable}})
		return
	}
	if id.VM == "" {
		c.enqueue(id, queued{item: m.Body.Item, call: m.Call}, m.Body.BypassCache)
		return
	}
	if id.VM != c.vm || id.Incarnation != c.incarn {
		c.do(ReplyPut{Call: m.Call, Body: PutAnswer{Verdict: NotTicketIssuer}})
		return
	}
	c.do(ReplyPut{Call: m.Call, Body: c.putTicket(m.Body.Item)})
}

// valid bounds what a peer may add to a journal.
func (it *Item) valid() bool {
	if it.Claimer.VM == "" || len(it.Claimer.VM) > maxVMBytes {
		return false
	}
	return it.Outcome == nil || it.Outcome.size() <= maxKeptBody+maxKeptHeader
}
