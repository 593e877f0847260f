package claims

import (
	"slices"
	"time"

	"github.com/cranberrypier/cranberrypier/internal/platform"
	"github.com/cranberrypier/cranberrypier/internal/result"
)

// journalWriter holds this process's cached copy of one journal and the items to
// write to it. At most one store call per journal is in progress. The cached copy
// may be stale, so it never grants a claim by itself: a grant that changes the
// journal counts only after the conditional write succeeded.
type journalWriter struct {
	id         JournalID
	cached     *journal // nil if it must be read first
	version    platform.Version
	queue      []queuedItem
	inFlight   []queuedItem // items of the store call in progress
	results    []itemResult // verdicts on inFlight if the write in progress succeeds
	op         uint64       // number of the store call in progress, or zero
	nextCallAt time.Time
	lastWrite  time.Time // start of the last write
	lastUsed   time.Time
	failures   int // conflicts and lost answers since the last successful write
}

// queuedItem is an item that waits for a write, and the recipient of its verdict:
// a claim of this process, a report or a peer call.
type queuedItem struct {
	item     Item
	local    bool
	report   *report
	peerCall uint64
}

// itemResult is the verdict on a queued item.
type itemResult struct {
	verdict Verdict
	record  Record
}

// maxWriteFailures is the number of successive conflicts and lost answers after
// which a batch is no longer retried.
const maxWriteFailures = 20

func (w *journalWriter) idle() bool { return w.op == 0 && len(w.queue) == 0 }

func (w *journalWriter) nextDue() time.Time {
	if w.op != 0 || len(w.queue) == 0 {
		return time.Time{}
	}
	return w.nextCallAt
}

func (c *Core) writer(id JournalID) *journalWriter {
	w := c.writers[id]
	if w == nil {
		w = &journalWriter{id: id}
		c.writers[id] = w
		c.writerOrder = append(c.writerOrder, w)
	}
	return w
}

func (c *Core) evictIdleWriters() {
	kept := c.writerOrder[:0]
	for _, w := range c.writerOrder {
		if w.idle() && c.now.Sub(w.lastUsed) > writerIdleTimeout {
			delete(c.writers, w.id)
			continue
		}
		kept = append(kept, w)
	}
	clear(c.writerOrder[len(kept):])
	c.writerOrder = kept
}

// enqueue adds an item to a journal's next write. The first item after a pause is
// written at once; items that arrive within the write interval share the next
// write.
func (c *Core) enqueue(id JournalID, q queuedItem, bypassCache bool) {
	if c.now.Before(c.breakerOpenUntil) {
		c.deliver(q, itemResult{verdict: Unavailable})
		return
	}
	w := c.writer(id)
	if len(w.queue) >= maxQueuedItems {
		c.deliver(q, itemResult{verdict: Unavailable})
		return
	}
	w.lastUsed = c.now
	if bypassCache && w.op == 0 {
		w.cached = nil
	}
	interval := c.writeInterval()
	due := c.now.Add(interval - c.limits.WriteInterval)
	if next := w.lastWrite.Add(interval); next.After(due) {
		due = next
	}
	if q.item.Outcome != nil && !c.flushing {
		due = c.now.Add(c.limits.OutcomeDelay)
	}
	if len(w.queue) == 0 || due.Before(w.nextCallAt) {
		w.nextCallAt = due
	}
	w.queue = append(w.queue, q)
}

// startDueCall starts the next store call of a journal if one is due.
func (c *Core) startDueCall(w *journalWriter) {
	if w.op != 0 || len(w.queue) == 0 || c.now.Before(w.nextCallAt) {
		return
	}
	c.lastOp++
	w.op = c.lastOp
	w.lastUsed = c.now
	if w.cached == nil {
		c.emit(ReadJournal{Op: w.op, Journal: w.id})
		return
	}
	c.writeQueued(w, false)
}

// writeQueued applies the queue to the cached journal and writes the result. Items
// that change nothing are answered without a store call, except for outcomes whose
// claim is missing: a stale cached copy may lack the claim. If it were answered as
// final, the claimer would remove its entry and later report that the work never
// started, and the work could run again. Such outcomes need a journal that was
// just read.
func (c *Core) writeQueued(w *journalWriter, justRead bool) {
	w.inFlight, w.queue, w.results = w.queue, nil, nil
	changes, claimMissing := 0, false
	for _, q := range w.inFlight {
		v, r, changed := w.cached.apply(q.item)
		w.results = append(w.results, itemResult{verdict: v, record: r})
		claimMissing = claimMissing || v == ClaimMissing
		if changed {
			changes++
		}
	}
	if changes == 0 && claimMissing && !justRead {
		w.queue, w.inFlight, w.results, w.cached = w.inFlight, nil, nil, nil
		c.emit(ReadJournal{Op: w.op, Journal: w.id})
		return
	}
	if changes == 0 {
		c.deliverResults(w)
		return
	}
	value, err := w.cached.encode()
	if err != nil || len(value) > platform.MaxValueBytes {
		w.cached = nil
		c.failAll(w)
		return
	}
	w.lastWrite = c.now
	c.pacer.addWrite(c.now, c.writeRateShare())
	c.emit(WriteJournal{Op: w.op, Journal: w.id, BaseVersion: w.version, Value: value, Items: changes})
}

func (c *Core) handleStoreRead(m StoreRead) {
	w := c.writers[m.Journal]
	if w == nil || w.op != m.Op {
		return
	}
	if m.Err != nil {
		c.openBreaker()
		c.failAll(w)
		return
	}
	j := newJournal(objectLimits)
	if m.Object.Version != 0 {
		var err error
		if j, err = decodeJournal(m.Object.Value); err != nil {
			c.failAll(w)
			return
		}
	}
	w.cached = j
	w.version = m.Object.Version
	c.writeQueued(w, true)
}

func (c *Core) handleStoreWritten(m StoreWritten) {
	w := c.writers[m.Journal]
	if w == nil || w.op != m.Op {
		return
	}
	switch {
	case m.Err == nil:
		w.version = m.Version
		w.failures = 0
		c.deliverResults(w)
	case result.Is(m.Err, result.PlatformConflict),
		result.Is(m.Err, result.PlatformNotFound),
		result.Is(m.Err, result.PlatformWriteUnknown):
		c.retryWrite(w)
	default:
		w.cached = nil
		c.openBreaker()
		c.failAll(w)
	}
}

// retryWrite retries a write that conflicted with another one or whose answer was
// lost. It reads the journal again; each item then finds its own claimer in the
// journal or is applied again.
func (c *Core) retryWrite(w *journalWriter) {
	w.cached = nil
	w.failures++
	if w.failures > maxWriteFailures {
		w.failures = 0
		c.failAll(w)
		return
	}
	w.queue = slices.Concat(w.inFlight, w.queue)
	w.inFlight, w.results, w.op = nil, nil, 0
	w.nextCallAt = c.now
}

// deliverResults delivers the verdicts on the batch in flight.
func (c *Core) deliverResults(w *journalWriter) {
	inFlight, results := w.inFlight, w.results
	c.endStoreCall(w)
	for i, q := range inFlight {
		c.deliver(q, results[i])
	}
}

// failAll delivers Unavailable for every queued and in-flight item of a journal.
func (c *Core) failAll(w *journalWriter) {
	all := slices.Concat(w.inFlight, w.queue)
	w.queue = nil
	c.endStoreCall(w)
	for _, q := range all {
		c.deliver(q, itemResult{verdict: Unavailable})
	}
}

func (c *Core) endStoreCall(w *journalWriter) {
	w.inFlight, w.results, w.op = nil, nil, 0
	if len(w.queue) > 0 {
		w.nextCallAt = w.lastWrite.Add(c.writeInterval())
	}
}

// openBreaker opens the circuit breaker of the store for breakerCooldown.
func (c *Core) openBreaker() { c.breakerOpenUntil = c.now.Add(breakerCooldown) }

func (c *Core) deliver(q queuedItem, d itemResult) {
	switch {
	case q.report != nil:
		c.handleReportResult(q.report, d.verdict, false)
	case q.local:
		e := c.entries[q.item.Digest]
		if e != nil && e.phase == phaseClaiming && e.number == q.item.Claimer.Number {
			c.handleVerdict(e, PutAnswer{Verdict: d.verdict, Record: d.record})
		}
	default:
		c.emit(ReplyPut{Call: q.peerCall, Body: PutAnswer{Verdict: d.verdict, Record: d.record}})
	}
}

// handlePeerPut applies an item for another process. This VM writes the item even
// if it is not the home in its own view: the conditional write decides between two
// homes.
func (c *Core) handlePeerPut(m PeerPut) {
	id := m.Body.Journal
	if !m.Body.Item.valid() {
		c.emit(ReplyPut{Call: m.Call, Body: PutAnswer{Verdict: Unavailable}})
		return
	}
	if id.VM == "" {
		c.enqueue(id, queuedItem{item: m.Body.Item, peerCall: m.Call}, m.Body.BypassCache)
		return
	}
	if id.VM != c.vm || id.Incarnation != c.incarnation {
		c.emit(ReplyPut{Call: m.Call, Body: PutAnswer{Verdict: NotTicketIssuer}})
		return
	}
	c.emit(ReplyPut{Call: m.Call, Body: c.applyTicketItem(m.Body.Item)})
}

// valid checks the bounds of an item that a peer adds to a journal.
func (it *Item) valid() bool {
	if it.Claimer.VM == "" || len(it.Claimer.VM) > maxVMBytes {
		return false
	}
	return it.Outcome == nil || it.Outcome.size() <= maxStoredBodyBytes+maxStoredHeaderBytes
}
