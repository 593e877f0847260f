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

// Core is the pure state of one VM's placement. It is not safe for concurrent
// use and reads no clock.
type Core struct {
	cfg    Config
	rng    *rand.Rand
	idx    *document.Index
	byName map[string]*upstream
	pools  map[string]*pool
	known  *prefixes
	// failures holds the first upstream on which a request failed.
	failures     *lru.Cache[string, string]
	held         seats.Held
	routersTotal int
	// leaving are the addresses that the platform lists as leaving.
	leaving    []string
	returned   map[string]zoneReturn
	tickets    map[uint64]ticket
	waiting    map[WaiterID]*waiter
	nextTicket uint64
	nextWaiter WaiterID
	grants     []Grant
	// meanOthers and meanLoad are means over the upstreams in service,
	// renewed by Tick.
	meanOthers float64
	meanLoad   float64
	// otherRouters is the number of other VMs, at most maxAlike.
	otherRouters float64
	ejections    int
}

// ticket is a reservation in use.
type ticket struct {
	u       *upstream
	p       *pool
	request string
	prefix  uint64
	band    int
	at      time.Time
}

// zoneReturn is when a zone came back into service.
type zoneReturn struct {
	at   time.Time
	ramp time.Duration
}

// Grant is the end of a wait: a slot, or a refusal.
type Grant struct {
	Waiter WaiterID
	Slot   Slot
	Err    *result.Error
}

// maxFailures bounds the memory of failed requests.
const maxFailures = 4096

// NewCore returns a state without a document.
func NewCore(cfg Config) *Core {
	cfg = cfg.withDefaults()
	f, err := lru.New[string, string](maxFailures)
	if err != nil {
		panic(err) // a positive size can't fail
	}
	return &Core{
		cfg: cfg, rng: rand.New(rand.NewPCG(cfg.Seed, 0x9e3779b97f4a7c15)),
		byName: map[string]*upstream{}, pools: map[string]*pool{},
		known: newPrefixes(cfg.MaxPrefixes), failures: f, routersTotal: 1,
		returned: map[string]zoneReturn{}, tickets: map[uint64]ticket{}, waiting: map[WaiterID]*waiter{},
	}
}

// Acquire returns a slot, or the waiter to which a Grant will come, or a
// refusal, which never ran.
func (c *Core) Acquire(r Request, now time.Time) (Slot, WaiterID, *result.Error) {
	p := c.pools[r.Target]
	if p == nil {
		return Slot{}, 0, result.New(result.NoUpstream, "no upstream serves %s", r.Target)
	}
	if bandOf(&r) != bandLong {
		p.urgentAt = now
	}
	// Whoever waits already goes first.
	if !p.queue.waits(&r) {
		if best := c.pick(p, &r, now); best.u != nil {
			return c.grant(best, p, &r, now), 0, nil
		}
	}
	if e := c.refuse(p, &r, now); e != nil {
		return Slot{}, 0, e
	}
	c.nextWaiter++
	w := &waiter{id: c.nextWaiter, req: r, since: now, pool: p}
	p.queue.push(w)
	c.waiting[w.id] = w
	// Those ahead may wait for one upstream only, while others are free.
	c.drain(p, now)
	return Slot{}, w.id, nil
}

// refuse answers at once what waiting can't help.
func (c *Core) refuse(p *pool, r *Request, now time.Time) *result.Error {
	places, serving := c.capacity(p, r, now)
	if serving == 0 {
		return result.New(result.NoUpstream, "no upstream of %s is in service", r.Target)
	}
	ahead := p.queue.ahead(r)
	service := p.serviceTime(bandOf(r))
	wait := time.Duration(float64(service) * float64(ahead+1) / float64(max(1, places)))
	// Without evidence of service times the foretold wait is a guess, and a
	// guess refuses nobody.
	late := p.service[bandOf(r)] > 0 && !now.Add(wait).Before(r.Deadline)
	if late || p.queue.full(r, c.cfg.MaxQueue) {
		return result.New(result.Overloaded, "%d requests wait for %s, about %s", ahead, r.Target, wait.Round(time.Millisecond)).
			WithRetryAfter(max(wait, minRetryAfter))
	}
	return nil
}

// minRetryAfter is the least advice to come back.
const minRetryAfter = 100 * time.Millisecond

// capacity counts this VM's places in the pool, and the upstreams in service.
func (c *Core) capacity(p *pool, r *Request, now time.Time) (places, serving int) {
	for _, list := range [...][]*upstream{p.local, p.remote} {
		for _, u := range list {
			if !u.takesWork() || (r.Only != "" && u.name != r.Only) {
				continue
			}
			serving++
			n, _ := c.places(u, p, bandOf(r), c.load(u, now), now)
			places += n
		}
	}
	return places, serving
}

func (c *Core) grant(b candidate, p *pool, r *Request, now time.Time) Slot {
	u := b.u
	c.check(b, now)
	u.history.note(u.inflight, now)
	u.inflight++
	band := bandOf(r)
	if band == bandLong {
		u.low++
		u.credit = max(0, u.credit-1)
		p.long++
	}
	c.nextTicket++
	c.tickets[c.nextTicket] = ticket{u: u, p: p, request: r.ID, prefix: r.PrefixHash, band: band, at: now}
	s := Slot{Ticket: c.nextTicket, Upstream: u.name, Address: u.doc.Address, Zone: u.zone, Cold: b.cold, Reason: reason(b, r)}
	if b.cold {
		s.NotAfter = c.held.NotAfter
	}
	return s
}

func reason(b candidate, r *Request) string {
	switch {
	case b.cold:
		return b.u.warmth.String()
	case r.Only == b.u.name || r.Prefer == b.u.name:
		return "resume"
	case b.cached:
		return "prefix"
	case !b.u.local:
		return "other_zone"
	default:
		return "least_finish"
	}
}

// check asserts what must hold for every grant.
func (c *Core) check(b candidate, now time.Time) {
	u := b.u
	invariant.Check(!u.doc.Leaving && !u.gone, invariant.LeavingNoWork, "leaving upstream %s was granted", u.name)
	invariant.Check(!c.idx.ZoneTakenOut(u.zone), invariant.ZoneOutNoWork, "upstream %s of zone %s was granted", u.name, u.zone)
	if u.isCold(c.cfg.WarmTTL, now) {
		share := c.coldShare(u, now)
		invariant.Check(u.inflight < share, invariant.ColdLimit,
			"cold upstream %s has %d runs of this VM, share %d", u.name, u.inflight, share)
	}
}

// Release ends a reservation. An unknown ticket is ignored: a slot counts
// once, however often it is given back.
func (c *Core) Release(id uint64, o Outcome, now time.Time) {
	t, ok := c.tickets[id]
	if !ok {
		return
	}
	delete(c.tickets, id)
	u := t.u
	u.history.note(u.inflight, now)
	u.inflight--
	if t.band == bandLong {
		u.low--
		t.p.long--
	}
	before := u.incarnation
	u.ended(o, t.at, now)
	c.judge(t.request, u, o.End, now)
	if u.incarnation != before && before != "" {
		c.known.forget(u)
	} else if o.End == EndOK {
		c.known.add(t.prefix, u)
	}
	if o.End == EndOK {
		t.p.ran(u, t.band, o.Elapsed.Seconds())
	}
	c.serve(u, now)
}
