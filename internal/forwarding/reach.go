// Package forwarding decides when a request is forwarded to another entry VM, and to
// which one: while this VM reaches no upstream of a service, other VMs may. The
// package is pure.
package forwarding

import (
	"maps"
	"slices"
	"time"
)

const (
	// minFailedUpstreams is the number of a service's upstreams to which connecting
	// must fail, with no contact in between, before the service counts as unreachable;
	// of a smaller service, all must fail.
	minFailedUpstreams = 2
	// maxFailureAge is how long a failure counts if no other follows.
	maxFailureAge = 10 * time.Second
)

// Reach knows which services this VM can't reach. It is not safe for concurrent use.
type Reach struct {
	services map[string]*serviceReach
}

// serviceReach are the failures since the last contact with a service's upstreams.
type serviceReach struct {
	failed      map[string]bool // upstreams
	firstFailed time.Time
	lastFailed  time.Time
	unreachable bool
}

// NewReach returns a Reach that counts all services as reachable.
func NewReach() *Reach { return &Reach{services: make(map[string]*serviceReach)} }

// Failed records that connecting to an upstream of a service, which has a number of
// upstreams, failed. It reports whether the service has thereby become unreachable.
func (r *Reach) Failed(now time.Time, service, upstream string, upstreams int) bool {
	s := r.services[service]
	if s == nil || (!s.unreachable && now.Sub(s.lastFailed) > maxFailureAge) {
		s = &serviceReach{failed: make(map[string]bool), firstFailed: now}
		r.services[service] = s
	}
	s.lastFailed = now
	if s.unreachable {
		return false
	}
	s.failed[upstream] = true
	s.unreachable = len(s.failed) >= min(minFailedUpstreams, max(upstreams, 1))
	return s.unreachable
}

// Exhausted records that a request found no upstream of a service that it could try
// after all of its attempts failed to connect. It reports whether the service has
// thereby become unreachable.
func (r *Reach) Exhausted(service string) bool {
	s := r.services[service]
	if s == nil || s.unreachable {
		return false
	}
	s.unreachable = true
	return true
}

// Contact records that an upstream of a service accepted a connection that was begun at
// a time. It reports whether the service was unreachable. Connections that were begun
// before the first failure say nothing about new ones.
func (r *Reach) Contact(service string, begunAt time.Time) bool {
	s := r.services[service]
	if s == nil || begunAt.Before(s.firstFailed) {
		return false
	}
	delete(r.services, service)
	return s.unreachable
}

// Unreachable reports whether this VM reaches no upstream of a service.
func (r *Reach) Unreachable(service string) bool {
	s := r.services[service]
	return s != nil && s.unreachable
}

// UnreachableServices returns the sorted names of the unreachable services.
func (r *Reach) UnreachableServices() []string {
	var out []string
	for _, name := range slices.Sorted(maps.Keys(r.services)) {
		if r.services[name].unreachable {
			out = append(out, name)
		}
	}
	return out
}

// Retain forgets all services but those that are listed.
func (r *Reach) Retain(services func(name string) bool) {
	maps.DeleteFunc(r.services, func(name string, _ *serviceReach) bool { return !services(name) })
}
