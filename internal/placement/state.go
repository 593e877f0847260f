package placement

import (
	"math/rand/v2"
	"time"

	"github.com/cranberrypier/cranberrypier/internal/document"
	"github.com/cranberrypier/cranberrypier/internal/invariant"
	"github.com/cranberrypier/cranberrypier/internal/result"
	"github.com/cranberrypier/cranberrypier/internal/seats"
	lru "github.com/hashicorp/golang-lru/v2"
)

// Core is the state machine of one VM's placement. It is not safe for
// concurrent use. It reads no clock: callers pass the time.
type Core struct {
	cfg      Config
	rng      *rand.Rand
	idx      *document.Index
	byName   map[string]*upstream
	pools    map[string]*pool
	prefixes *prefixIndex
	// firstFailures maps a request's id to the first upstream on which it
	// failed.
	firstFailures *lru.Cache[string, string]
	// heldSeats are this VM's leases of the zone's numbered seats. Each seat
	// stands for a fixed share of every cold limit in the zone.
	heldSeats seats.Held
	vmCount   int
	// leavingAddresses are the addresses that the platform lists as leaving.
	leavingAddresses []string
	zoneReturns      map[string]zoneReturn
	reservations     map[uint64]reservation
	waiting          map[WaiterID]*waiter
	nextReservation  uint64
	nextWaiter       WaiterID
	grants           []Grant
	// Means over the enabled upstreams: the runs of other VMs, and the runs of
	// all VMs, on one upstream. Tick updates both.
	meanOtherRuns float64
	meanLoad      float64
	// correlatedVMs is the number of other VMs that are assumed to react
	// like this one, at most maxCorrelatedVMs.
	correlatedVMs float64
	ejections     int
}

// reservation is a granted slot that has not been released.
type reservation struct {
	u         *upstream
	p         *pool
	request   string
	prefix    uint64
	band      int
	grantedAt time.Time
}

// zoneReturn records when a zone returned to service and how long its ramp
// takes.
type zoneReturn struct {
	at   time.Time
	ramp time.Duration
}

// Grant ends a wait with a slot or an error.
type Grant struct {
	Waiter WaiterID
	Slot   Slot
	Err    *result.Error
}

// maxTrackedFailures bounds the number of failed requests that are remembered.
const maxTrackedFailures = 4096

// NewCore returns a Core without a document.
func NewCore(cfg Config) *Core {
	cfg = cfg.withDefaults()
	f, err := lru.New[string, string](maxTrackedFailures)
	if err != nil {
		panic(err) // a positive size can't fail
	}
	return &Core{
		cfg: cfg, rng: rand.New(rand.NewPCG(cfg.Seed, 0x9e3779b97f4a7c15)),
		byName: map[string]*upstream{}, pools: map[string]*pool{},
		prefixes: newPrefixIndex(cfg.MaxPrefixes), firstFailures: f, vmCount: 1,
		zoneReturns: map[string]zoneReturn{}, reservations: map[uint64]reservation{}, waiting: map[WaiterID]*waiter{},
	}
}

// Acquire returns a slot, or the id of a waiter for which a Grant will follow,
// or an error. A request that gets an error never ran.
func (c *Core) Acquire(r Request, now time.Time) (Slot, WaiterID, *result.Error) {
	p := c.pools[r.Target]
	if p == nil {
		return Slot{}, 0, result.New(result.NoUpstream, "no upstream serves %s", r.Target)
	}
	if bandOf(&r) != bandLong {
		p.lastNonLongAt = now
	}
	// Requests that are already queued go first.
	if !p.queue.hasWaiting(&r) {
		if best := c.pick(p, &r, now); best.u != nil {
			return c.grant(best, p, &r, now), 0, nil
		}
	}
	if e := c.admissionError(p, &r, now); e != nil {
		return Slot{}, 0, e
	}
	c.nextWaiter++
	w := &waiter{id: c.nextWaiter, req: r, since: now, pool: p}
	p.queue.push(w)
	c.waiting[w.id] = w
	// A queued request ahead may be restricted to one full upstream while
	// others have free slots.
	c.drainQueue(p, now)
	return Slot{}, w.id, nil
}

// admissionError returns an error if the request must not be queued: no
// upstream is in service, the expected wait exceeds the request's deadline, or
// the queue is full.
func (c *Core) admissionError(p *pool, r *Request, now time.Time) *result.Error {
	slots, serving := c.capacity(p, r, now)
	if serving == 0 {
		return result.New(result.NoUpstream, "no upstream of %s is in service", r.Target)
	}
	ahead := p.queue.ahead(r)
	service := p.serviceTime(bandOf(r))
	wait := time.Duration(float64(service) * float64(ahead+1) / float64(max(1, slots)))
	// Before the first measured run the expected wait is only a guess, and no
	// request is rejected because of a guess.
	missesDeadline := p.meanService[bandOf(r)] > 0 && !now.Add(wait).Before(r.Deadline)
	if missesDeadline || p.queue.full(r, c.cfg.QueueShareThreshold) {
		return result.New(result.Overloaded, "not queued: %d requests are ahead in the queue for %s; the expected wait of %s exceeds the deadline, or the queue is full", ahead, r.Target, wait.Round(time.Millisecond)).
			WithRetryAfter(max(wait, minRetryAfter))
	}
	return nil
}

// minRetryAfter is the shortest retry delay advised to a rejected request.
const minRetryAfter = 100 * time.Millisecond

// capacity counts, among the upstreams that the request may use, this VM's
// slots and the upstreams that accept work.
func (c *Core) capacity(p *pool, r *Request, now time.Time) (slots, serving int) {
	for _, list := range [...][]*upstream{p.local, p.remote} {
		for _, u := range list {
			if !u.acceptsWork() || (r.PinnedTo != "" && u.name != r.PinnedTo) {
				continue
			}
			serving++
			n, _ := c.slotLimit(u, p, bandOf(r), c.load(u, now), now)
			slots += n
		}
	}
	return slots, serving
}

func (c *Core) grant(b candidate, p *pool, r *Request, now time.Time) Slot {
	u := b.u
	c.checkGrant(b, now)
	u.history.record(u.inflight, now)
	u.inflight++
	band := bandOf(r)
	if band == bandLong {
		u.longInflight++
		u.longCredit = max(0, u.longCredit-1)
		p.longInflight++
	}
	c.nextReservation++
	c.reservations[c.nextReservation] = reservation{u: u, p: p, request: r.ID, prefix: r.PrefixHash, band: band, grantedAt: now}
	s := Slot{ReservationID: c.nextReservation, Upstream: u.name, Address: u.doc.Address, Zone: u.zone, Cold: b.cold, Reason: reason(b, r)}
	if b.cold {
		s.NotAfter = c.heldSeats.NotAfter
	}
	return s
}

func reason(b candidate, r *Request) string {
	switch {
	case b.cold:
		return b.u.warmth.String()
	case r.PinnedTo == b.u.name || r.Prefer == b.u.name:
		return "resume"
	case b.cached:
		return "prefix"
	case !b.u.local:
		return "other_zone"
	default:
		return "least_finish"
	}
}

// checkGrant asserts the invariants of every grant.
func (c *Core) checkGrant(b candidate, now time.Time) {
	u := b.u
	invariant.Check(!u.doc.Leaving && !u.removed, invariant.NoWorkOnLeavingUpstream, "granted a slot on leaving upstream %s", u.name)
	invariant.Check(!c.idx.ZoneWithdrawn(u.zone), invariant.NoWorkInWithdrawnZone, "granted a slot on upstream %s of withdrawn zone %s", u.name, u.zone)
	if u.isCold(c.cfg.WarmTTL, now) {
		share := c.coldShare(u, now)
		invariant.Check(u.inflight < share, invariant.ColdLimit,
			"cold upstream %s has %d runs of this VM, share %d", u.name, u.inflight, share)
	}
}

// Release ends a reservation. It ignores an unknown id, so that releasing a
// slot repeatedly counts once.
func (c *Core) Release(id uint64, o Outcome, now time.Time) {
	t, ok := c.reservations[id]
	if !ok {
		return
	}
	delete(c.reservations, id)
	u := t.u
	u.history.record(u.inflight, now)
	u.inflight--
	if t.band == bandLong {
		u.longInflight--
		t.p.longInflight--
	}
	before := u.incarnation
	u.applyOutcome(o, t.grantedAt, now)
	c.updateEjection(t.request, u, o.End, now)
	if u.incarnation != before && before != "" {
		c.prefixes.removeUpstream(u)
	} else if o.End == EndOK {
		c.prefixes.add(t.prefix, u)
	}
	if o.End == EndOK {
		t.p.recordRun(u, t.band, o.Elapsed.Seconds())
	}
	c.drainQueuesOf(u, now)
}
