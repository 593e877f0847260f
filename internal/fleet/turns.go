package fleet

import (
	"math"
	"slices"
	"time"
)

// A rate that holds for all VMs together is divided among them in turns, without a
// message per request: turns follow each other at the rate, by the time of day, and go
// round the VMs. A turn may be used for one request until it expires. In any window the
// requests are then at most the turns that begin in it, and those that have begun before
// and not expired. Where clocks differ, turns of different VMs overlap, but none has
// more of them.
const (
	// baseTurnLife is how long a turn can be used, and turnLifeTurns how many turns of
	// all VMs longer.
	baseTurnLife  = time.Second
	turnLifeTurns = 2
	// maxUnusedTurns limits the turns that a VM keeps.
	maxUnusedTurns = 1024
)

// turns are this VM's turns of one rate.
type turns struct {
	seenUntil time.Time   // the turns that began until then are known
	unused    []time.Time // the expiry times
}

// turnOrder is this VM's position in the order in which the turns go round.
type turnOrder struct{ rank, vms int }

// advance adds the turns that have begun since the last call, of a rate in turns per
// second, and removes those that have expired.
func (t *turns) advance(now time.Time, perSecond float64, order turnOrder) {
	life := turnLife(perSecond)
	if t.seenUntil.IsZero() || t.seenUntil.Sub(now) > life { // the clock may have been set back
		t.seenUntil, t.unused = now, nil
	}
	t.unused = slices.DeleteFunc(t.unused, func(expiry time.Time) bool { return !now.Before(expiry) })
	if !now.After(t.seenUntil) {
		return
	}
	from := t.seenUntil
	if earliest := now.Add(-life); from.Before(earliest) {
		from = earliest
	}
	t.seenUntil = now
	first, last := lastTurn(from, perSecond)+1, lastTurn(now, perSecond)
	vms := int64(order.vms)
	first += ((int64(order.rank)-first)%vms + vms) % vms
	for n := first; n <= last && len(t.unused) < maxUnusedTurns; n += vms {
		t.unused = append(t.unused, timeOfTurn(n, perSecond).Add(life))
	}
}

// take uses the turn that expires first. There must be one.
func (t *turns) take() { t.unused = t.unused[1:] }

// turnLife returns how long a turn can be used.
func turnLife(perSecond float64) time.Duration {
	return baseTurnLife + time.Duration(turnLifeTurns/perSecond*float64(time.Second))
}

// lastTurn returns the number of the last turn that has begun.
func lastTurn(now time.Time, perSecond float64) int64 {
	return int64(math.Floor(float64(now.UnixNano()) / float64(time.Second) * perSecond))
}

func timeOfTurn(n int64, perSecond float64) time.Time {
	return time.Unix(0, int64(float64(n)/perSecond*float64(time.Second)))
}

// untilNext returns the time until the next turn begins after the known ones.
func (t *turns) untilNext(now time.Time, perSecond float64, order turnOrder) time.Duration {
	vms := int64(order.vms)
	n := lastTurn(now, perSecond) + 1
	n += ((int64(order.rank)-n)%vms + vms) % vms
	return max(timeOfTurn(n, perSecond).Sub(now), 0)
}
