package edge

import (
	"context"
	"errors"
	"slices"
	"sync"
	"syscall"
	"time"

	"k8s.io/klog/v2"
)

const (
	// maxUndecidedCrashes limits the crashes that are to be decided later.
	maxUndecidedCrashes = 64
	// maxUndecidedTime is how long a crash can be decided: poison.Core keeps the runs
	// that broke for about as long.
	maxUndecidedTime = 3 * time.Second
)

// undecidedCrashes are upstreams that broke connections and refused the next ones while
// this VM reached no upstream of their service: they crashed, or this VM lost its links.
type undecidedCrashes struct {
	mu   sync.Mutex
	list []undecidedCrash
}

type undecidedCrash struct {
	attempt   *attempt
	refusedAt time.Time
}

// add records that the upstream of an attempt refused a connection. It returns false if
// that is known.
func (u *undecidedCrashes) add(now time.Time, a *attempt) bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.list = slices.DeleteFunc(u.list, func(c undecidedCrash) bool { return now.Sub(c.refusedAt) > maxUndecidedTime })
	known := slices.ContainsFunc(u.list, func(c undecidedCrash) bool {
		return c.attempt.pick.ID == a.pick.ID && c.attempt.pick.Incarnation == a.pick.Incarnation
	})
	if known || len(u.list) >= maxUndecidedCrashes {
		return false
	}
	u.list = append(u.list, undecidedCrash{attempt: a, refusedAt: now})
	return true
}

// take removes and returns the crashes of a service's upstreams.
func (u *undecidedCrashes) take(service string) []undecidedCrash {
	u.mu.Lock()
	defer u.mu.Unlock()
	var taken []undecidedCrash
	u.list = slices.DeleteFunc(u.list, func(c undecidedCrash) bool {
		if c.attempt.state.req.Service.Name != service {
			return false
		}
		taken = append(taken, c)
		return true
	})
	return taken
}

// decideByDialing decides the crashes of a service of which an upstream has just accepted a
// connection: what still refuses connections has crashed.
func (s *Proxy) decideByDialing(service string) {
	for _, c := range s.undecided.take(service) {
		ctx, cancel := context.WithTimeout(context.Background(), upstreamDialTimeout)
		conn, err := s.dialUpstream(ctx, "tcp", c.attempt.pick.Address)
		cancel()
		switch {
		case err == nil:
			_ = conn.Close() // nothing was sent on it
			s.recordDecision(c, false, "it accepts connections")
		case errors.Is(err, syscall.ECONNREFUSED):
			s.recordDecision(c, true, "it refuses connections, and others accept them")
		}
	}
}

// decideByPeers decides the crashes of a service that no other VM reaches either: it is
// not this VM's link.
func (s *Proxy) decideByPeers(service string) {
	if !s.forwarder.unreachable(service) || s.forwarder.reachedElsewhere(time.Now(), service) {
		return
	}
	for _, c := range s.undecided.take(service) {
		s.recordDecision(c, true, "no other VM reaches the service")
	}
}

func (s *Proxy) recordDecision(c undecidedCrash, crashed bool, reason string) {
	p := c.attempt.pick
	klog.InfoS("poison: decided whether the upstream has crashed", "upstream", p.ID, "born", p.Incarnation, "crashed", crashed, "because", reason)
	if crashed {
		s.countCrash(c.refusedAt, c.attempt)
		return
	}
	if s.fleet.Has(p) { // otherwise another incarnation may have accepted the connection
		s.mu.Lock()
		s.poison.Alive(time.Now(), p.ID, p.Incarnation)
		s.mu.Unlock()
	}
}
