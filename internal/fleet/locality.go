package fleet

import (
	"math/rand/v2"
	"time"

	"github.com/cranberrypier/cranberrypier/internal/exchange"
)

// Locality-aware routing of plain services: a request stays in its own availability zone
// while the upstream there has room and neither fails nor is markedly slower than the
// others. The path to other zones costs money and connections, and a request that may not
// be repeated is lost if it was sent into a zone that is then cut off.
//
// Work spills over with a share that rises steadily with what is known of the upstream in
// the own zone. VMs with the same picture therefore move a part of their requests, not all
// of them at once, and each request that moves draws its upstream by their free room, so
// that the VMs do not meet at one.
const (
	// minLocalityVMs is the number of known VMs from which on the rule applies. With fewer,
	// each VM sees a large share of all calls: its average latencies are accurate, its
	// own count is most of what is in flight, and the lowest cost alone keeps calls in the
	// zone while that is best for the caller. The number is twice minAssumedVMs.
	minLocalityVMs = 16
	// minLocalityZones is the number of zones with an upstream of the service from which on
	// the rule applies. It holds while scale-ins leave upstreams in two zones only.
	minLocalityZones = 2
	// Work spills over from spillFrom busy slots on, as a share of all slots, and all of it
	// from spillAll on. In between, the share rises linearly. An upstream queues a few times
	// its slots, so that at spillAll a request still waits for less than the time of
	// a call; the counts of single moments vary, so that the share must not be a step.
	spillFrom = 1.0
	spillAll  = 1.5
	// Of an upstream that fails, work spills over from the failure rate failingFrom on, and
	// all of it from failingAll on: one failure moves a third of the next requests, three in
	// sequence all.
	failingFrom = 0.1
	failingAll  = 0.55
	// slowMargin is how much longer than in another zone a call may take in the own zone,
	// as a share of its target latency. A caller is served in time as well with the rest.
	// From twice the margin on all work spills over.
	slowMargin = 0.1
	// minSlowMarginMs is the least margin. Averages of calls differ by as much by chance.
	minSlowMarginMs = 10.0
)

// ZoneChoice is what the preference for the own zone made of a choice.
type ZoneChoice int8

// The choices.
const (
	// ZoneIgnored: the preference does not apply to the service, the model or the fleet.
	ZoneIgnored ZoneChoice = iota
	// ZoneOwn: the request stays in the own zone.
	ZoneOwn
	// ZoneSpilled: the own zone has an upstream, and the request leaves it.
	ZoneSpilled
	// ZoneEmpty: no upstream of the own zone may receive the request.
	ZoneEmpty
)

var zoneChoiceNames = [...]string{"ignored", "own", "spilled", "empty"}

// String returns the name used in logs and metrics.
func (c ZoneChoice) String() string { return zoneChoiceNames[c] }

// zoneCandidate is an upstream that may receive a request.
type zoneCandidate struct {
	member *member
	// cost is that of the candidate, expectedMs its expected latency.
	cost, expectedMs   float64
	inFlight, slots    float64
	failureRate, share float64 // share is of its free slots, see drawByRoom
}

func newZoneCandidate(m *member, c *Candidate, cost float64) zoneCandidate {
	return zoneCandidate{
		member: m, cost: cost, expectedMs: c.ExpectedLatencyMs(), inFlight: c.InFlight, slots: float64(max(c.Slots, 1)), failureRate: c.FailureRate,
	}
}

// localityChoice collects the candidates of one choice by zone.
type localityChoice struct {
	// local is the candidate of the own zone with the lowest cost, without a member if there
	// is none.
	local  zoneCandidate
	others []zoneCandidate
	// fastestMs is the lowest expected latency of the others.
	fastestMs float64
	// averageCallMs is the average time of a call over the candidates.
	averageCallMs float64
}

func (l *localityChoice) reset(averageCallMs float64) {
	l.local, l.others, l.averageCallMs = zoneCandidate{}, l.others[:0], averageCallMs
}

func (l *localityChoice) add(m *member, c *Candidate, cost float64) {
	if c.SameZone {
		if l.local.member == nil || cost < l.local.cost {
			l.local = newZoneCandidate(m, c, cost)
		}
		return
	}
	o := newZoneCandidate(m, c, cost)
	if len(l.others) == 0 || o.expectedMs < l.fastestMs {
		l.fastestMs = o.expectedMs
	}
	l.others = append(l.others, o)
}

// choose returns the upstream for a request. With ZoneEmpty it returns none, and the lowest
// cost decides.
func (l *localityChoice) choose(rng *rand.Rand, target time.Duration) (zoneCandidate, ZoneChoice) {
	if l.local.member == nil {
		return zoneCandidate{}, ZoneEmpty
	}
	share := l.spillShare(target)
	if share == 0 || rng.Float64() >= share {
		return l.local, ZoneOwn
	}
	other, ok := drawByRoom(rng, l.others)
	if !ok || other.cost >= l.local.cost {
		return l.local, ZoneOwn // the others have no room either, or the path costs more than it gains
	}
	return other, ZoneSpilled
}

// spillShare returns the share of the requests that leave the own zone.
func (l *localityChoice) spillShare(target time.Duration) float64 {
	if len(l.others) == 0 {
		return 0
	}
	margin := max(slowMargin*float64(target.Milliseconds()), minSlowMarginMs)
	return max(
		ramp(l.local.inFlight/l.local.slots, spillFrom, spillAll),
		ramp(l.local.failureRate, failingFrom, failingAll),
		ramp(l.local.expectedMs-l.fastestMs-crossZonePenaltyMs, margin, 2*margin),
	)
}

// ramp returns 0 up to from, 1 from to on, and rises linearly in between.
func ramp(x, from, to float64) float64 { return min(max((x-from)/(to-from), 0), 1) }

// drawByRoom draws one of the candidates, in proportion to the calls per ms that their free
// slots can take; false if none has a free slot. A failing upstream counts for less.
func drawByRoom(rng *rand.Rand, list []zoneCandidate) (zoneCandidate, bool) {
	total := 0.0
	for i := range list {
		c := &list[i]
		c.share = max(c.slots-c.inFlight, 0) / c.expectedMs * (1 - ramp(c.failureRate, failingFrom, failingAll))
		total += c.share
	}
	if total == 0 {
		return zoneCandidate{}, false
	}
	left := rng.Float64() * total
	last := 0
	for i, c := range list {
		if c.share == 0 {
			continue
		}
		if last = i; left < c.share {
			break
		}
		left -= c.share
	}
	return list[last], true
}

// prefersLocal reports whether a request of a service prefers the upstreams of the own zone.
// Those of a brittle service are chosen by the room that this VM holds there.
func (f *Fleet) prefersLocal(now time.Time, q Query, p *servicePool) bool {
	return !q.ModelEngine && p.zones >= minLocalityZones && len(f.vms) >= minLocalityVMs && f.brittleOf(now, q.Service) == nil
}

// candidateByZone returns the candidate of an upstream in a choice by zone.
func (f *Fleet) candidateByZone(now time.Time, q Query, m *member) Candidate {
	c := f.candidate(now, q, m, prompt{})
	c.LatencyMs = m.calls.estimate(now, f.locality.averageCallMs)
	return c
}

// RecordRejection records the load that an upstream reports with a rejection for want of
// room. Only the choice by zone uses it.
func (f *Fleet) RecordRejection(now time.Time, p *Pick, load exchange.Load) {
	f.mu.Lock()
	defer f.mu.Unlock()
	m := f.memberOf(p)
	pool := f.pools[p.Service]
	if m == nil || pool == nil || p.prefillTokens > 0 || !f.prefersLocal(now, Query{Service: p.Service}, pool) {
		return
	}
	m.recordLoad(now, load)
}
