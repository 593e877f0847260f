package claims

import (
	"time"

	"github.com/cranberrypier/cranberrypier/internal/result"
)

// Limits holds the bounds and wait times of one process, and the fleet's target
// for journal writes.
type Limits struct {
	// MaxKeyAge is how long after its issue time a key is accepted. Default 15m.
	MaxKeyAge time.Duration
	// MaxKeyAhead is how far in the future an issue time may lie. Default 2m.
	MaxKeyAhead time.Duration
	// WriteInterval is the minimum time between two writes of one journal.
	// Claims that arrive in between share the next write. Default 25ms.
	WriteInterval time.Duration
	// TargetWriteRate is the fleet's target for journal writes per second. Above it,
	// claims wait longer, so that more of them share a write. The target can be
	// exceeded, see pacer. Default 100.
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
	// maxQueuedItems bounds the items that wait for a write of one journal.
	maxQueuedItems = 4096
	// maxPendingOutcomes bounds the outcomes to record. Above it, new units of
	// work are rejected.
	maxPendingOutcomes = 20000
	// maxLostOutcomes bounds Core.lostOutcomes.
	maxLostOutcomes = 100000
	// maxConcurrentOutcomes bounds the outcomes that are recorded at the same
	// time.
	maxConcurrentOutcomes = 256
	minOutcomeBackoff     = 100 * time.Millisecond
	maxOutcomeBackoff     = 5 * time.Second
	// releaseTTL is how long recording that a claim's work never ran is retried.
	releaseTTL = 30 * time.Second
	// writerIdleTimeout is how long an unused writer is kept.
	writerIdleTimeout = 30 * time.Second
	// breakerCooldown is how long claims are rejected without a store call after
	// a store call failed.
	breakerCooldown = 300 * time.Millisecond
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

// Core is the state machine of one process. It and its peers keep these invariants
// under any failure:
//   - A process starts work only while the journal holds its claim, identified by
//     VM, incarnation and claim number.
//   - Each claim number starts work at most once.
//   - A claim in the journal is replaced only after its claimer has confirmed that
//     it never ran the work and never will.
type Core struct {
	vm          string
	incarnation uint64
	secret      []byte // signs run tickets
	limits      Limits
	now         time.Time

	lastClaimNumber uint64 // number of the last claim
	lastOp          uint64 // number of the last store call
	lastCall        uint64 // number of the last peer call
	entries         map[Digest]*entry
	peerCalls       map[uint64]*peerCall
	writers         map[JournalID]*journalWriter
	writerOrder     []*journalWriter // the writers, in order of creation
	pendingClaims   []pendingClaim   // claims in progress, sorted by deadline
	outcomes        outcomeQueue
	pacer           pacer
	tickets         tickets
	members         members
	// lostOutcomes holds the claim numbers whose work was started and whose
	// outcomes could not be recorded in time. This process must never report
	// that their work did not run.
	lostOutcomes map[uint64]struct{}
	// breakerOpenUntil is set after a store call failed. Until then, claims are
	// rejected without a store call.
	breakerOpenUntil time.Time
	flushing         bool
	nextEviction     time.Time
	actions          []Action
}

// peerCall is a call to a peer that is in progress. It claims or joins for an
// entry, or records an outcome.
type peerCall struct {
	digest      Digest
	claimNumber uint64
	outcome     *outcomeWrite
	addr        string // router address of the home VM that was called
}

// NewCore returns the core of one process. The secret signs run tickets and must
// be the same on every VM of the fleet.
func NewCore(vm string, incarnation uint64, secret []byte, l Limits) *Core {
	l = l.withDefaults()
	return &Core{
		vm: vm, incarnation: incarnation, secret: secret, limits: l,
		entries:      make(map[Digest]*entry),
		peerCalls:    make(map[uint64]*peerCall),
		lostOutcomes: make(map[uint64]struct{}),
		writers:      make(map[JournalID]*journalWriter),
		tickets:      newTickets(l.MaxTickets),
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
		c.handleArrival(m)
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

// runTimers processes everything that is due: claim timeouts, outcomes to record,
// store calls and the removal of expired tickets and idle writers.
func (c *Core) runTimers() {
	c.expireClaims()
	c.sendOutcomes()
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
	consider(c.outcomes.nextSend(c.now))
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
func (c *Core) Idle() bool { return len(c.entries) == 0 && c.outcomes.len() == 0 }

// ownClaimer returns the claimer of this process with the given claim number.
func (c *Core) ownClaimer(claimNumber uint64) Claimer {
	return Claimer{VM: c.vm, Incarnation: c.incarnation, Number: claimNumber}
}

// safeToSupersede reports whether a claim of this process that has no entry may be
// superseded: its work never started, or its outcome is in the journal, in which
// case the conditional write fails. Once lostOutcomes is full, it returns false for
// every claim.
func (c *Core) safeToSupersede(claimNumber uint64) bool {
	_, started := c.lostOutcomes[claimNumber]
	return !started && len(c.lostOutcomes) < maxLostOutcomes
}

func (c *Core) isOwn(k Claimer) bool { return k.VM == c.vm && k.Incarnation == c.incarnation }

// unavailable returns the error for an arrival whose work has not run and never
// will.
func unavailable(detail string) error {
	return result.New(result.ClaimUnavailable, "%s", detail)
}
