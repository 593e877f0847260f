package claims

import (
	"time"

	"github.com/cranberrypier/cranberrypier/internal/result"
)

// Limits bound what one process holds and waits for.
type Limits struct {
	// Window is how long after its issue a key is accepted. Default 15m.
	Window time.Duration
	// Ahead is how far in the future an issue time may lie. Default 2m.
	Ahead time.Duration
	// Interval is the least time between two writes of one journal; claims
	// that come in between share the next write. Default 25ms.
	Interval time.Duration
	// WriteRate is the fleet's target for writes a second; above it claims wait
	// longer for company. Default 100.
	WriteRate float64
	// OutcomeDelay is how long an outcome waits to share a write. Default 250ms.
	OutcomeDelay time.Duration
	// ClaimTimeout is how long an arrival waits for its claim. Default 2s.
	ClaimTimeout time.Duration
	// Entries is the most units of work in progress. Default 20,000.
	Entries int
	// Tickets is the most run tickets outstanding. Default 20,000.
	Tickets int
}

const (
	maxQueuedItems       = 4096
	maxPendingReports    = 20000
	maxUnrecordedNumbers = 100000
	maxConcurrentReports = 256
	minReportBackoff     = 100 * time.Millisecond
	maxReportBackoff     = 5 * time.Second
	releaseReportTTL     = 30 * time.Second
	writerIdleTimeout    = 30 * time.Second
	breakerCooldown      = 300 * time.Millisecond
)

func orDefault[T int | float64 | time.Duration](v, def T) T {
	if v == 0 {
		return def
	}
	return v
}

func (l Limits) withDefaults() Limits {
	l.Window = orDefault(l.Window, 15*time.Minute)
	l.Ahead = orDefault(l.Ahead, 2*time.Minute)
	l.Interval = orDefault(l.Interval, 25*time.Millisecond)
	l.WriteRate = orDefault(l.WriteRate, 100)
	l.OutcomeDelay = orDefault(l.OutcomeDelay, 250*time.Millisecond)
	l.ClaimTimeout = orDefault(l.ClaimTimeout, 2*time.Second)
	l.Entries = orDefault(l.Entries, 20000)
	l.Tickets = orDefault(l.Tickets, 20000)
	return l
}

// Core decides for one process. The invariant that it keeps, with its peers
// and whatever happens to them: the work of a digest starts only when the
// journal holds a claim of this process with the number of the start, each
// number starts once, and a claim in the journal is replaced only after its
// claimer has said that it never ran and never will.
type Core struct {
	vm          string
	incarnation uint64
	secret      []byte // signs run tickets
	limits      Limits
	now         time.Time

	lastNumber    uint64 // of the last claim
	lastOp        uint64 // of the last store call
	lastCall      uint64 // of the last peer call
	entries       map[Digest]*entry
	peerCalls     map[uint64]*peerCall
	writers       map[JournalID]*journalWriter
	writerOrder   []*journalWriter // the books, in the order of their first use
	pendingClaims []pendingClaim   // claims in progress, by time to give up
	reports       reportQueue
	pacer         pacer
	tickets       tickets
	members       members
	// unrecorded holds the numbers that started and whose outcomes could not
	// be recorded in time. This process must never say that they did not run.
	unrecorded map[uint64]struct{}
	// downUntil is set after the store failed; until then claims are refused
	// without a call.
	breakerOpenUntil time.Time
	flushing         bool
	nextEviction     time.Time
	actions          []Action
}

// outgoing is a peer call in progress, for an entry or a report.
type peerCall struct {
	digest Digest
	number uint64
	report *report
	addr   string // of the home that was asked
}

// NewCore returns the core of one process. Secret signs run tickets and is the
// same over the fleet.
func NewCore(vm string, incarnation uint64, secret []byte, l Limits) *Core {
	l = l.withDefaults()
	return &Core{
		vm: vm, incarnation: incarnation, secret: secret, limits: l,
		entries:    make(map[Digest]*entry),
		peerCalls:  make(map[uint64]*peerCall),
		unrecorded: make(map[uint64]struct{}),
		writers:    make(map[JournalID]*journalWriter),
		tickets:    newTickets(l.Tickets),
	}
}

// Step takes one message at a time and returns what has to be done.
func (c *Core) Step(now time.Time, m Message) []Action {
	if now.After(c.now) {
		c.now = now
	}
	c.actions = nil
	switch m := m.(type) {
	case Arrive:
		c.handleArrive(m)
	case StoreRead:
		c.handleStoreRead(m)
	case StoreWritten:
		c.handleStoreWritten(m)
	case PeerPut:
		c.handlePeerPut(m)
	case PeerJoin:
		c.handlePeerJoin(m)
	case PutDone:
		c.handlePutDone(m)
	case JoinDone:
		c.handleJoinDone(m)
	case RunEnded:
		c.handleRunEnded(m)
	case SetView:
		c.members.set(m.View)
	case Flush:
		c.flushing = true
	}
	c.runTimers()
	return c.actions
}

func (c *Core) emit(a Action) { c.actions = append(c.actions, a) }

// timers does what has become due.
func (c *Core) runTimers() {
	c.expireClaims()
	c.sendReports()
	for _, w := range c.writerOrder {
		c.startDueCall(w)
	}
	if c.now.Before(c.nextEviction) {
		return
	}
	c.nextEviction = c.now.Add(time.Second)
	c.tickets.expire(c.now.Add(-c.limits.Window))
	c.evictIdleWriters()
}

// Next is when the core wants a Tick if no message comes before; zero if never.
func (c *Core) Next() time.Time {
	var next time.Time
	consider := func(t time.Time) {
		if !t.IsZero() && (next.IsZero() || t.Before(next)) {
			next = t
		}
	}
	if len(c.pendingClaims) > 0 {
		consider(c.pendingClaims[0].deadline)
	}
	consider(c.reports.nextSend(c.now))
	for _, w := range c.writerOrder {
		consider(w.nextDue())
	}
	if len(c.writerOrder) > 0 {
		consider(c.nextEviction)
	}
	return next
}

// Idle reports whether no run is in progress and every outcome is recorded.
func (c *Core) Idle() bool { return len(c.entries) == 0 && c.reports.len() == 0 }

// self returns the claimer of this process with a number.
func (c *Core) ownClaimer(number uint64) Claimer {
	return Claimer{VM: c.vm, Incarnation: c.incarnation, Number: number}
}

// disowns reports whether number, which has no entry, certainly never ran.
// Once too many numbers would have to be remembered, none is disowned.
func (c *Core) neverStarted(number uint64) bool {
	_, started := c.unrecorded[number]
	return !started && len(c.unrecorded) < maxUnrecordedNumbers
}

func (c *Core) isOwn(k Claimer) bool { return k.VM == c.vm && k.Incarnation == c.incarnation }

// unavailable is the refusal of an arrival that has not run and never will.
func unavailable(detail string) error {
	return result.New(result.ClaimUnavailable, "%s", detail)
}
