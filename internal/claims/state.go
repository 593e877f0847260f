package claims

import (
	"time"

	"github.com/cranberrypier/cranberrypier/internal/result"
)

// Limits holds the bounds and wait times of one process.
type Limits struct {
	// Window is how long after its issue time a key is accepted. Default 15m.
	MaxKeyAge time.Duration
	// MaxAhead is how far in the future an issue time may lie. Default 2m.
	MaxKeyAhead time.Duration
	// WriteInterval is the minimum time between two writes of one journal.
	// Claims that arrive in between share the next write. Default 25ms.
	WriteInterval time.Duration
	// WriteRate is the fleet's target for journal writes per second. Above it,
	// claims wait longer, so that more of them share a write. Default 100.
	TargetWriteRate float64
	// OutcomeDelay is how long an outcome waits for others that can share its
	// write. Default 250ms.
	OutcomeDelay time.Duration
	// ClaimTimeout is how long an arrival waits for its claim. Default 2s.
	ClaimTimeout time.Duration
	// MaxEntries is the maximum number of units of work in progress. Default
	// 20,000.
	MaxEntries int
	// MaxTickets is the maximum number of outstanding run tickets. Default
	// 20,000.
	MaxTickets int
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
	l.MaxKeyAge = orDefault(l.MaxKeyAge, 15*time.Minute)
	l.MaxKeyAhead = orDefault(l.MaxKeyAhead, 2*time.Minute)
	l.WriteInterval = orDefault(l.WriteInterval, 25*time.Millisecond)
	l.TargetWriteRate = orDefault(l.TargetWriteRate, 100)
	l.OutcomeDelay = orDefault(l.OutcomeDelay, 250*time.Millisecond)
	l.ClaimTimeout = orDefault(l.ClaimTimeout, 2*time.Second)
	l.MaxEntries = orDefault(l.MaxEntries, 20000)
	l.MaxTickets = orDefault(l.MaxTickets, 20000)
	return l
}

// Core is the state machine of one process. It and its peers keep this invariant
// under any failure: the work of a digest starts only when the journal holds a
// claim of this process with the number of the start, each number starts at most
// once, and a claim in the journal is replaced only after its claimer has
// confirmed that it never ran the work and never will.
type Core struct {
	vm          string
	incarnation uint64
	secret      []byte // signs run tickets
	limits      Limits
	now         time.Time

	lastNumber    uint64 // number of the last claim
	lastOp        uint64 // number of the last store call
	lastCall      uint64 // number of the last peer call
	entries       map[Digest]*entry
	peerCalls     map[uint64]*peerCall
	writers       map[JournalID]*journalWriter
	writerOrder   []*journalWriter // the writers, in order of creation
	pendingClaims []pendingClaim   // claims in progress, sorted by deadline
	reports       reportQueue
	pacer         pacer
	tickets       tickets
	members       members
	// unrecorded holds the claim numbers whose work was started and whose
	// outcomes could not be recorded in time. This process must never report
	// that they did not run.
	unrecorded map[uint64]struct{}
	// breakerOpenUntil is set after a store call failed. Until then, claims are
	// rejected without a store call.
	breakerOpenUntil time.Time
	flushing         bool
	nextEviction     time.Time
	actions          []Action
}

// peerCall is a call to a peer that is in progress, for an entry or a report.
type peerCall struct {
	digest Digest
	number uint64
	report *report
	addr   string // router address of the home VM that was called
}

// NewCore returns the core of one process. The secret signs run tickets and must
// be the same on every VM of the fleet.
func NewCore(vm string, incarnation uint64, secret []byte, l Limits) *Core {
	l = l.withDefaults()
	return &Core{
		vm: vm, incarnation: incarnation, secret: secret, limits: l,
		entries:    make(map[Digest]*entry),
		peerCalls:  make(map[uint64]*peerCall),
		unrecorded: make(map[uint64]struct{}),
		writers:    make(map[JournalID]*journalWriter),
		tickets:    newTickets(l.MaxTickets),
	}
}

// Step processes one message and returns the actions to execute.
func (c *Core) Step(now time.Time, m Message) []Action {
	if now.After(c.now) {
		c.now = now
	}
	c.actions = nil
	switch m := m.(type) {
	case Arrival:
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

// runTimers processes everything that is due: claim timeouts, reports, store
// calls and the removal of expired tickets and idle writers.
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
	c.tickets.expire(c.now.Add(-c.limits.MaxKeyAge))
	c.evictIdleWriters()
}

// NextTick returns when the core needs a Tick if no message arrives before; zero
// if never.
func (c *Core) NextTick() time.Time {
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

// Idle reports whether no unit of work is in progress and every outcome is
// recorded.
func (c *Core) Idle() bool { return len(c.entries) == 0 && c.reports.len() == 0 }

// ownClaimer returns the claimer of this process with the given number.
func (c *Core) ownClaimer(number uint64) Claimer {
	return Claimer{VM: c.vm, Incarnation: c.incarnation, Number: number}
}

// neverStarted reports whether the work of number, which must have no entry, has
// certainly never started. Once unrecorded is full, it returns false for every
// number.
func (c *Core) neverStarted(number uint64) bool {
	_, started := c.unrecorded[number]
	return !started && len(c.unrecorded) < maxUnrecordedNumbers
}

func (c *Core) isOwn(k Claimer) bool { return k.VM == c.vm && k.Incarnation == c.incarnation }

// unavailable returns the error for an arrival whose work has not run and never
// will.
func unavailable(detail string) error {
	return result.New(result.ClaimUnavailable, "%s", detail)
}
