package fleet

import (
	"encoding/binary"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/cranberrypier/cranberrypier/internal/exchange"
)

// A service is brittle while its upstreams say so: one of them that rejects more than
// a stated number of requests in a second for want of room crashes. An upstream of
// such a service receives a request only in one of these cases:
//
//   - This VM holds a place there. A request of its own that has ended leaves a
//     place, so that the number of requests at the upstream stays as it is.
//   - The upstream has a free slot as far as this VM knows, and the service as a
//     whole is not full.
//   - A try of this VM's share is left. The tries of all VMs together are fewer than
//     the rejections that the upstream withstands.
//
// A try takes at most one place from another VM, whose next request is then rejected.
// The rejections are therefore bounded by the tries, without a message per request.
const (
	// brittleTTL is how long a service stays brittle without an answer of any upstream
	// to any VM.
	brittleTTL = 10 * time.Second
	// brittleSettleTime is how long after the latest announcement an answer without one
	// ends the brittle time, because answers overtake each other.
	brittleSettleTime = time.Second
	// placeTTL is how long a place is held, and hiddenPlaceTTL how long at an upstream
	// that does not report its load, where the VMs know less of each other's requests.
	placeTTL       = time.Second
	hiddenPlaceTTL = 400 * time.Millisecond
	// tryCycle is the time in which all tries of an upstream take their turn.
	tryCycle = 2 * time.Second
	// tryShare is the share of the rejections that is divided among the VMs. The rest
	// covers VMs that have not discovered each other or the brittle time.
	tryShare = 0.4
	// maxTurns limits the tries in a cycle.
	maxTurns = 2000
	// tryEpoch is how long the same VMs have the tries of an upstream if there are
	// fewer tries than VMs.
	tryEpoch = 2 * tryCycle
	// fullPeriod is how long an upstream or a service counts as full after the
	// latest sign of it.
	fullPeriod = time.Second
	// restartPeriod is how long after its start or its return an upstream counts as
	// full, so that it is not rushed.
	restartPeriod = 5 * time.Second
	// settlePeriod is how long after it first saw an upstream a VM tries it. A VM that
	// starts does not know the others yet.
	settlePeriod = 2 * time.Second
	// fullnessWeight is the weight of the newest answer in a VM's fullness of a service,
	// and reportWeight that of the newest report in the other VMs' fullness. A service
	// counts as full from the average fullThreshold on.
	fullnessWeight = 0.1
	reportWeight   = 0.05
	fullThreshold  = 0.12
	// freeShare is the share of an upstream's slots up to which it receives requests
	// without a place or a try, and growthShare the one up to which a request that has
	// ended leaves a second place.
	freeShare   = 0.5
	growthShare = 0.3
)

// brittleService is what this VM knows of a service whose upstreams are brittle.
type brittleService struct {
	limit   int
	active  bool
	heardAt time.Time // when an upstream last announced it to any VM
	endedAt time.Time // when an answer to any VM ended the brittle time
	fullAt  time.Time // when the service was last found full
	// fullness is the share of this VM's latest requests that found no free slot, or no
	// room at all; othersFullness is the average of what the other VMs report.
	fullness, othersFullness float64
	hasReports               bool
	room                     roomForecast
}

// upstreamRoom is what this VM knows of the room at one upstream of a brittle service.
type upstreamRoom struct {
	places []time.Time // the expiry times of the places that this VM holds
	// triedTurn is the turn of this VM's latest try.
	triedTurn int64
	// fullAt is when the upstream last showed that it has no free slot, and
	// unreachableAt when it was last unreachable.
	fullAt, unreachableAt time.Time
	rank                  tryRank
}

// tryRank is this VM's rank among the VMs that share the tries of an upstream. It changes
// only with the VMs and the epoch.
type tryRank struct {
	known      bool
	generation int // of Fleet.vms
	epoch      int64
	rank       int
}

// Answer is what an answer of an upstream, also a rejection, says of its room.
type Answer struct {
	// BrittleLimit is the number of rejections in a second above which the upstream
	// crashes; zero if it is not brittle.
	BrittleLimit int
	// Rejected is true if the upstream had no room for the request.
	Rejected bool
	Load     *exchange.Load
}

// BrittleChange is the begin or the end of a service's brittle time.
type BrittleChange int

// The changes.
const (
	BrittleUnchanged BrittleChange = iota
	BrittleBegan
	BrittleEnded
)

// RecordAnswer records what an answer says of its upstream's room, and whether the
// upstream is brittle.
func (f *Fleet) RecordAnswer(now time.Time, p *Pick, a Answer) BrittleChange {
	if a.BrittleLimit <= 0 && !f.knowsBrittle.Load() {
		return BrittleUnchanged
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	b := f.brittle[p.Service]
	if a.BrittleLimit <= 0 {
		if b == nil || !b.active || now.Sub(b.heardAt) < brittleSettleTime {
			return BrittleUnchanged
		}
		b.active, b.endedAt = false, now
		return BrittleEnded
	}
	change := f.heardBrittle(now, p.Service, a.BrittleLimit)
	if m := f.memberOf(p); m != nil {
		f.brittle[p.Service].recordRoom(now, m, a)
	}
	return change
}

// heardBrittle records an announcement that any VM received at the given time.
func (f *Fleet) heardBrittle(heardAt time.Time, service string, limit int) BrittleChange {
	b := f.brittle[service]
	change := BrittleUnchanged
	switch {
	case b == nil:
		b = &brittleService{active: true}
		f.brittle[service] = b
		f.knowsBrittle.Store(true)
		change = BrittleBegan
	case !heardAt.After(b.heardAt) || !heardAt.After(b.endedAt):
		return BrittleUnchanged
	case !b.active:
		*b = brittleService{active: true, endedAt: b.endedAt}
		change = BrittleBegan
	}
	b.heardAt, b.limit = heardAt, limit
	return change
}

// recordRoom updates the fullness of the service and of the upstream.
func (b *brittleService) recordRoom(now time.Time, m *member, a Answer) {
	if a.Load != nil {
		m.recordLoad(now, *a.Load)
	}
	sample := 0.0
	if a.Rejected || m.occupied(now) >= m.slots() {
		sample = 1
		m.room.fullAt = now
	}
	if a.Rejected {
		m.room.places = nil
	}
	b.recordFullness(now, sample)
}

// recordFullness adds a sample: 1 for an answer that shows no free slot, or for a request
// that found no room, and 0 for any other answer.
func (b *brittleService) recordFullness(now time.Time, sample float64) {
	b.fullness += fullnessWeight * (sample - b.fullness)
	b.updateFull(now)
}

// recordReport adds another VM's fullness.
func (b *brittleService) recordReport(now time.Time, fullness float64) {
	if !b.hasReports {
		b.othersFullness = fullness
	}
	b.hasReports = true
	b.othersFullness += reportWeight * (fullness - b.othersFullness)
	b.updateFull(now)
}

func (b *brittleService) updateFull(now time.Time) {
	fullness := b.fullness
	if b.hasReports {
		fullness = (b.fullness + b.othersFullness) / 2
	}
	if fullness > fullThreshold {
		b.fullAt = now
	}
}

func (m *member) slots() int { return max(m.Slots, 1) }

// occupied returns the number of requests at the upstream, running or waiting: those of
// its latest report while it is new, or else those that the VMs report.
func (m *member) occupied(now time.Time) int {
	n := m.inflight + m.remoteInflight
	if m.hasReport(now) {
		n = max(n, m.load.Running+m.load.Waiting+max(m.inflight-m.ownInflightAtLoad, 0))
	}
	return n
}

// hasReport reports whether the upstream's report of its own load is new enough to be
// used.
func (m *member) hasReport(now time.Time) bool {
	return !m.loadAt.IsZero() && now.Sub(m.loadAt) < upstreamLoadTTL
}

// brittleOf returns the state of a service that is brittle now, or nil.
func (f *Fleet) brittleOf(now time.Time, service string) *brittleService {
	b := f.brittle[service]
	if b == nil || !b.active || now.Sub(b.heardAt) > brittleTTL {
		return nil
	}
	return b
}

// roomReason is why an upstream of a brittle service may receive a request. Smaller
// ones are preferred.
type roomReason int

const (
	heldPlace roomReason = iota
	freeSlot
	ownTry
	noRoom
)

// roomAt returns why an upstream of a brittle service may receive a request, or noRoom.
func (f *Fleet) roomAt(now time.Time, b *brittleService, m *member, firstAttempt bool) roomReason {
	m.room.expire(now)
	switch {
	case len(m.room.places) > 0:
		return heldPlace
	case f.hasFreeSlot(now, b, m):
		return freeSlot
	case firstAttempt && now.Sub(m.firstSeen) >= settlePeriod && f.mayTry(now, b, m):
		return ownTry
	}
	return noRoom
}

// hold adds a place that expires at a time.
func (r *upstreamRoom) hold(until time.Time) { r.places = append(r.places, until) }

func (r *upstreamRoom) expire(now time.Time) {
	r.places = slices.DeleteFunc(r.places, func(until time.Time) bool { return !now.Before(until) })
}

// hasFreeSlot reports whether an upstream has a free slot as far as this VM knows. That
// is not enough while the service is full or after a restart, because all VMs would
// send to the same slots.
func (f *Fleet) hasFreeSlot(now time.Time, b *brittleService, m *member) bool {
	switch {
	case now.Sub(b.fullAt) < fullPeriod, now.Sub(m.room.fullAt) < fullPeriod,
		m.firstSeen.After(f.firstListed) && now.Sub(m.firstSeen) < restartPeriod, now.Sub(m.room.unreachableAt) < restartPeriod:
		return false
	}
	return float64(m.occupied(now)) < freeShare*float64(m.slots())
}

// mayTry reports whether it is this VM's turn to try an upstream. The tries are divided
// in advance: each has a turn in each cycle, and the turns go round the VMs. If there are
// more VMs than tries, other VMs have them in the next epoch. The clocks need not
// agree: a VM has the same number of turns at any time of its own.
func (f *Fleet) mayTry(now time.Time, b *brittleService, m *member) bool {
	turns, vms := b.turns(), int64(max(len(f.vms), minAssumedVMs))
	turn, early := f.turn(now, b, m)
	rank := f.tryRank(m, turn/turns/int64(tryEpoch/tryCycle))
	return early && turn != m.room.triedTurn && turn%turns%vms == int64(rank)
}

// turns returns the number of turns in a cycle.
func (b *brittleService) turns() int64 {
	return min(max(int64(float64(b.limit)*tryShare*tryCycle.Seconds()), 1), maxTurns)
}

// turn returns the number of the turn that an upstream's tries are at, and whether it is in
// its first half. There are no tries in the second, so that those of successive turns
// are apart.
func (f *Fleet) turn(now time.Time, b *brittleService, m *member) (turn int64, early bool) {
	offset := int64(m.hash % uint64(tryEpoch)) // not the same for all upstreams
	halves := (now.UnixNano() + offset) / (int64(tryCycle) / b.turns() / 2)
	return halves / 2, halves%2 == 0
}

// tryRank returns this VM's rank in an epoch of an upstream's tries.
func (f *Fleet) tryRank(m *member, epoch int64) int {
	return f.cachedRank(&m.room.rank, m.hash, epoch)
}

// cachedRank returns this VM's rank among the VMs in the order of an upstream's hash and
// an epoch.
func (f *Fleet) cachedRank(r *tryRank, upstreamHash uint64, epoch int64) int {
	if r.known && r.generation == f.vmsGeneration && r.epoch == epoch {
		return r.rank
	}
	var buf [24]byte
	binary.LittleEndian.PutUint64(buf[:], upstreamHash)
	binary.LittleEndian.PutUint64(buf[8:], uint64(epoch)) //nolint:gosec // only hashed
	hash := func(vm string) uint64 {
		binary.LittleEndian.PutUint64(buf[16:], xxhash.Sum64String(vm))
		return xxhash.Sum64(buf[:])
	}
	own, rank := hash(f.cfg.VM), 0
	for _, vm := range f.vms {
		if vm != f.cfg.VM && hash(vm) < own {
			rank++
		}
	}
	*r = tryRank{known: true, generation: f.vmsGeneration, epoch: epoch, rank: rank}
	return rank
}

// isFull reports whether an upstream is brittle and may not receive this request.
func (f *Fleet) isFull(now time.Time, q Query, m *member) bool {
	b := f.brittleOf(now, m.Service)
	return b != nil && f.roomAt(now, b, m, q.FirstAttempt) == noRoom
}

// preferRoom keeps only the upstreams with the best reason to receive a request.
func (f *Fleet) preferRoom(now time.Time, b *brittleService, firstAttempt bool, eligible []*member) []*member {
	best := noRoom
	for _, m := range eligible {
		best = min(best, f.roomAt(now, b, m, firstAttempt))
	}
	return slices.DeleteFunc(eligible, func(m *member) bool { return f.roomAt(now, b, m, firstAttempt) != best })
}

// takeRoom uses up a place or a try for a request that is about to be sent.
func (f *Fleet) takeRoom(now time.Time, m *member, firstAttempt bool) {
	b := f.brittleOf(now, m.Service)
	if b == nil {
		return
	}
	switch f.roomAt(now, b, m, firstAttempt) {
	case heldPlace:
		m.room.places = m.room.places[1:]
	case ownTry:
		m.room.triedTurn, _ = f.turn(now, b, m)
	case freeSlot, noRoom:
	}
}

// leavePlace keeps the place of a request that the upstream has answered and that has
// ended. None is kept while requests wait there, and a second one if most slots are free.
func (f *Fleet) leavePlace(now time.Time, m *member) {
	b := f.brittleOf(now, m.Service)
	if b == nil {
		return
	}
	b.room.recordEnd(now)
	occupied, slots := float64(m.occupied(now)), float64(m.slots())
	if occupied > slots {
		return
	}
	if !m.hasReport(now) {
		m.room.hold(now.Add(hiddenPlaceTTL))
		return
	}
	m.room.hold(now.Add(placeTTL))
	if occupied < slots*growthShare {
		m.room.hold(now.Add(placeTTL))
	}
}

// dropPlaces forgets the places at an upstream that is unreachable.
func (m *member) dropPlaces(now time.Time) {
	m.room.places = nil
	m.room.unreachableAt = now
}

const (
	// maxRoomWait limits the time after which a caller without room is asked to return.
	maxRoomWait = 2 * time.Second
	// endIntervalWeight is the weight of the newest interval between ended requests.
	endIntervalWeight = 0.1
)

// roomForecast estimates when there is room for a request that was refused.
type roomForecast struct {
	lastEnd     time.Time
	endInterval time.Duration // average time between this VM's ended requests
	// promisedUntil is when the places that end before it have been promised to callers.
	promisedUntil time.Time
}

func (r *roomForecast) recordEnd(now time.Time) {
	if !r.lastEnd.IsZero() {
		gap := min(now.Sub(r.lastEnd), maxRoomWait)
		r.endInterval += time.Duration(endIntervalWeight * float64(gap-r.endInterval))
	}
	r.lastEnd = now
}

// RoomExpectedIn returns when a request that found no room at any upstream of a brittle
// service may expect room. Each call promises one more place. It returns zero if the
// service is not brittle.
func (f *Fleet) RoomExpectedIn(now time.Time, service string) time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	b := f.brittleOf(now, service)
	if b == nil {
		return 0
	}
	r := &b.room
	interval := r.endInterval
	if interval == 0 {
		interval = maxRoomWait
	}
	if r.promisedUntil.Before(now) {
		r.promisedUntil = now
	}
	r.promisedUntil = r.promisedUntil.Add(interval)
	if latest := now.Add(maxRoomWait); r.promisedUntil.After(latest) {
		r.promisedUntil = latest
	}
	return r.promisedUntil.Sub(now)
}
