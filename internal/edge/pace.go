package edge

import (
	"slices"
	"time"

	"github.com/cranberrypier/cranberrypier/internal/canary"
	"github.com/cranberrypier/cranberrypier/internal/exchange"
)

// pace records when the events of a stream arrived.
type pace struct {
	events           int
	firstAt, lastAt  time.Time
	eventsAfterFirst int
}

func (p *pace) record(now time.Time, events int) {
	if events == 0 {
		return
	}
	if p.events == 0 {
		p.firstAt = now
	} else {
		p.eventsAfterFirst += events
	}
	p.events += events
	p.lastAt = now
}

// minPacedEvents is the number of events after the first ones from which on a pace
// is meaningful.
const minPacedEvents = 3

// pacedEvents is the number of events after the first ones at which the pace of a
// stream is recorded.
const pacedEvents = 6

// interval returns the mean time between events, or zero if there are too few.
func (p *pace) interval() time.Duration {
	if p.eventsAfterFirst < minPacedEvents {
		return 0
	}
	return p.lastAt.Sub(p.firstAt) / time.Duration(p.eventsAfterFirst)
}

// Thresholds at which a late response counts against the upstream's version.
const (
	// The head of a response is late after lateThresholdFactor times the
	// expected time to the first byte, but not before minLateThreshold.
	lateThresholdFactor = 4
	minLateThreshold    = 300 * time.Millisecond
)

// late reports whether the response's head came late enough to count against the
// upstream's version, or has not come by now.
func (a *attempt) late(now time.Time) bool {
	took := a.timeToHead
	if a.head == nil && a.attemptStatus == exchange.Unknown && !a.disconnected {
		took = now.Sub(a.startedAt)
	}
	expected := float64(a.pick.ExpectedLatency)
	excuse := a.excuse()
	if a.pick.WorkTime > 0 {
		expected /= a.pick.WorkTime // the excuse counts it
		if a.workTime() == 0 {
			excuse = max(a.pick.WorkTime, 1)
		}
	}
	return float64(took) > excuse*max(lateThresholdFactor*expected, float64(minLateThreshold))
}

// countedAttempts are the attempts of a request that count for their versions: the
// first at each version and model. Further ones fail, or take long, for the same
// reason if it lies in the request.
type countedAttempts []countedAttempt

type countedAttempt struct{ version, model string }

// add reports whether an attempt counts, and remembers it.
func (c *countedAttempts) add(a *attempt) bool {
	key := countedAttempt{version: a.pick.Version, model: a.model}
	if slices.Contains(*c, key) {
		return false
	}
	*c = append(*c, key)
	return true
}

// running returns the number of requests that the upstream reported to run, or
// canary.UnknownRunning.
func (a *attempt) running() int {
	if a.head == nil || a.head.Load == nil {
		return canary.UnknownRunning
	}
	return a.head.Load.Running
}

// workTime returns how long work took at the upstream as it reported with its response, as
// a multiple of the usual; zero if it did not.
func (a *attempt) workTime() float64 {
	if a.head == nil || a.head.Load == nil {
		return 0
	}
	return a.head.Load.WorkTime
}

// maxWorkTimeExcuse limits the reported work time that excuses an attempt. A version whose
// upstreams report more is judged by the rest.
const maxWorkTimeExcuse = 5

// excuse returns the factor by which the attempt may take longer without being held against
// its upstream's version, because the upstream reported that work took longer on its machine.
// Work that was faster than usual is no reason for a stricter measure: the report is of one
// moment.
func (a *attempt) excuse() float64 { return min(max(a.workTime(), 1), maxWorkTimeExcuse) }

// versionPace returns how fast the upstream worked, in the terms of a machine that is as
// fast as usual. PerUnit is zero if the attempt says nothing of it.
func (a *attempt) versionPace() canary.Pace {
	p := canary.Pace{
		Service: a.state.req.Service.Name, Version: a.pick.Version, Work: a.model, PerUnit: a.pace.interval(), Running: canary.UnknownRunning,
	}
	if !a.state.req.Route.Stream {
		p.Work, p.PerUnit, p.Call = a.state.req.Route.Name, a.timeToHead, true
	} else {
		p.Running = a.running()
	}
	p.PerUnit = time.Duration(float64(p.PerUnit) / a.excuse())
	return p
}

// recordPace records how fast the upstream worked, once for an attempt.
func (a *attempt) recordPace(now time.Time) {
	p := a.versionPace()
	cold := a.startedAt.Before(a.pick.ColdUntil)
	if a.paceRecorded || p.PerUnit == 0 || cold || a.state.req.Route.Stream && a.unread > maxPacedUnread {
		return
	}
	a.paceRecorded = true
	if !a.state.paces.add(a) {
		return
	}
	s := a.state.proxy
	s.mu.Lock()
	defer s.mu.Unlock()
	s.canary.RecordPace(now, p)
}
