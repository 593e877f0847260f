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
	MaxAhead time.Duration
	// Interval is the least time between two writes of one journal; claims
	// that come in between share the next write. Default 25ms.
	WriteInterval time.Duration
	// WriteRate is the fleet's target for writes a second; above it claims wait
	// longer for company. Default 100.
	WriteRate float64
	// OutcomeDelay is how long an outcome waits to share a write. Default 250ms.
	OutcomeDelay time.Duration
	// ClaimTimeout is how long an arrival waits for its claim. Default 2s.
	ClaimTimeout time.Duration
	// Entries is the most units of work in progress. Default 20,000.
	MaxEntries int
	// Tickets is the most run tickets outstanding. Default 20,000.
	MaxTickets int
}

const (
	maxQueue      = 4096
	maxReports    = 20000
	maxUnrecorded = 100000
	reportsAtOnce = 256
	minBackOff    = 100 * time.Millisecond
	maxBackOff    = 5 * time.Second
	abandonedKeep = 30 * time.Second
	journalIdle   = 30 * time.Second
	breakerPause  = 300 * time.Millisecond
)

func orDefault[T int | float64 | time.Duration](v, def T) T {
	if v == 0 {
		return def
	}
	return v
}

func (l Limits) withDefaults() Limits {
	l.Window = orDefault(l.Window, 15*time.Minute)
	l.MaxAhead = orDefault(l.MaxAhead, 2*time.Minute)
	l.WriteInterval = orDefault(l.WriteInterval, 25*time.Millisecond)
	l.WriteRate = orDefault(l.WriteRate, 100)
	l.OutcomeDelay = orDefault(l.OutcomeDelay, 250*time.Millisecond)
	l.ClaimTimeout = orDefault(l.ClaimTimeout, 2*time.Second)
	l.MaxEntries = orDefault(l.MaxEntries, 20000)
	l.MaxTickets = orDefault(l.MaxTickets, 20000)
	return l
}

// Core decides for one process. The invariant that it keeps, with its peers
// and whatever happens to them: the work of a digest starts only when the
// journal holds a claim of this process with the number of the start, each
// number starts once, and a claim in the journal is replaced only after its
// claimer has said that it never ran and never will.
type Core struct {
	vm     string
	incarn uint64
	secret []byte // signs run tickets
	limits Limits
	now    time.Time

	number  uint64 // of the last claim
	op      uint64 // of the last store call
	call    uint64 // of the last peer call
	entries map[Digest]*entry
	calls   map[uint64]*outgoing
	books   map[JournalID]*book
	order   []*book // the books, in the order of their first use
	waits   []wait  // claims in progress, by time to give up
	reports reportQueue
	pace    pace
	tickets tickets
	members members
	// unrecorded holds the numbers that started and whose outcomes could not
	// be recorded in time. This process must never say that they did not run.
	unrecorded map[uint64]struct{}
	// downUntil is set after the store failed; until then claims are refused
	// without a call.
	downUntil time.Time
	flushing  bool
	nextIdle  time.Time
	out       []Action
}

// outgoing is a peer call in progress, for an entry or a report.
type outgoing struct {
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
		vm: vm, incarn: incarnation, secret: secret, limits: l,
		entries:    make(map[Digest]*entry),
		calls:      make(map[uint64]*outgoing),
		unrecorded: make(map[uint64]struct{}),
		books:      make(map[JournalID]*book),
		tickets:    newTickets(l.MaxTickets),
	}
}

// Step takes one message at a time and returns what has to be done.
func (c *Core) Step(now time.Time, m Message) []Action {
	if now.After(c.now) {
		c.now = now
	}
	c.out = nil
	switch m := m.(type) {
	case Arrive:
		c.arrive(m)
	case StoreRead:
		c.read(m)
	case StoreWritten:
		c.written(m)
	case PeerPut:
		c.peerPut(m)
	case PeerJoin:
		c.peerJoin(m)
	case PutDone:
		c.putDone(m)
	case JoinDone:
		c.joinDone(m)
	case RunEnded:
		c.ended(m)
	case SetView:
		c.members.set(m.View)
	case Flush:
		c.flushing = true
	}
	c.timers()
	return c.out
}

func (c *Core) do(a Action) { c.out = append(c.out, a) }

// timers does what has become due.
func (c *Core) timers() {
	c.expireEntries()
	c.sendReports()
	for _, b := range c.order {
		c.advance(b)
	}
	if c.now.Before(c.nextIdle) {
		return
	}
	c.nextIdle = c.now.Add(time.Second)
	c.tickets.expire(c.now.Add(-c.limits.Window))
	c.dropIdle()
}

// Next is when the core wants a Tick if no message comes before; zero if never.
func (c *Core) NextTick() time.Time {
	var next time.Time
	earlier := func(t time.Time) {
		if !t.IsZero() && (next.IsZero() || t.Before(next)) {
			next = t
		}
	}
	if len(c.waits) > 0 {
		earlier(c.waits[0].giveUp)
	}
	earlier(c.reports.next(c.now))
	for _, b := range c.order {
		earlier(b.nextDue())
	}
	if len(c.order) > 0 {
		earlier(c.nextIdle)
	}
	return next
}

// Idle reports whether no run is in progress and every outcome is recorded.
func (c *Core) Idle() bool { return len(c.entries) == 0 && c.reports.len() == 0 }

// self returns the claimer of this process with a number.
func (c *Core) self(number uint64) Claimer {
	return Claimer{VM: c.vm, Incarnation: c.incarn, Number: number}
}

// disowns reports whether number, which has no entry, certainly never ran.
// Once too many numbers would have to be remembered, none is disowned.
func (c *Core) disowns(number uint64) bool {
	_, started := c.unrecorded[number]
	return !started && len(c.unrecorded) < maxUnrecorded
}

func (c *Core) mine(k Claimer) bool { return k.VM == c.vm && k.Incarnation == c.incarn }

// unavailable is the refusal of an arrival that has not run and never will.
func unavailable(detail string) error {
	return result.New(result.ClaimUnavailable, "%s", detail)
}
