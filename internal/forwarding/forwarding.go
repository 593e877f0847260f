package forwarding

import (
	"slices"
	"strings"
	"time"
)

const (
	// maxReportAge is how long after its last report a VM may get requests.
	maxReportAge = 5 * time.Second
	// avoidInterval is how long a VM gets no requests after it could not be connected
	// to, and none for a service after it refused a request for it.
	avoidInterval = time.Second
	// minZoneShare is the share of the known VMs of this VM's zone that must be able to
	// take requests; otherwise those of other zones take some as well, so that few VMs
	// do not carry a zone.
	minZoneShare = 0.5
)

// VM is another entry VM.
type VM struct {
	Name    string
	Address string // of its listener for other VMs
	Zone    string
}

// Report is what a VM says of itself.
type Report struct {
	VM
	// Unreachable are services of which the VM reaches no upstream.
	Unreachable []string
	// Stopping is true if the VM is about to stop.
	Stopping bool
}

// Query describes a request that is to be forwarded.
type Query struct {
	Service string
	// Regions are lists of regions that must each contain the VM's region; an empty list
	// allows all.
	Regions [][]string
	// Exclude are the names of VMs that were tried already.
	Exclude []string
	// Draw is a random number.
	Draw uint64
}

type peer struct {
	Report
	heardAt time.Time
	// running is the number of requests that this VM has forwarded there and that have
	// not ended.
	running int
	// avoidUntil is when the VM may get requests for a service again; the empty name
	// stands for all services.
	avoidUntil map[string]time.Time
}

// Core knows the other VMs. It is not safe for concurrent use.
type Core struct {
	zone         string
	regionByZone map[string]string
	peers        map[string]*peer
}

// New returns a core of a VM in a zone that knows no other VM.
func New(zone string, regionByZone map[string]string) *Core {
	return &Core{zone: zone, regionByZone: regionByZone, peers: make(map[string]*peer)}
}

// Record stores a VM's latest report.
func (c *Core) Record(now time.Time, r Report) {
	p := c.peers[r.Name]
	if p == nil {
		p = &peer{avoidUntil: make(map[string]time.Time)}
		c.peers[r.Name] = p
	}
	p.Report, p.heardAt = r, now
}

// ReachedElsewhere reports whether a VM that was heard lately may reach a service.
func (c *Core) ReachedElsewhere(now time.Time, service string) bool {
	for _, p := range c.peers {
		if now.Sub(p.heardAt) <= maxReportAge && !slices.Contains(p.Unreachable, service) {
			return true
		}
	}
	return false
}

// Retain forgets the VMs that are not listed and run none of this VM's requests.
func (c *Core) Retain(known []string) {
	for name, p := range c.peers {
		if p.running == 0 && !slices.Contains(known, name) {
			delete(c.peers, name)
		}
	}
}

// Choose returns the VM for a request and counts the request there until Done. It
// returns false if there is none. Of two random VMs it takes the one that runs fewer
// of this VM's requests.
func (c *Core) Choose(now time.Time, q Query) (VM, bool) {
	list := c.candidates(now, q)
	if len(list) == 0 {
		return VM{}, false
	}
	n := uint64(len(list))
	best, other := list[q.Draw%n], list[q.Draw/n%n]
	if other.running < best.running {
		best = other
	}
	best.running++
	return best.VM, true
}

// candidates returns the VMs that may get a request, sorted by name: those of this
// VM's zone, if they are enough, otherwise those of its region, otherwise all.
func (c *Core) candidates(now time.Time, q Query) []*peer {
	var all, sameRegion, sameZone []*peer
	zoneVMs := 0
	for _, p := range c.peers {
		if now.Sub(p.heardAt) > maxReportAge {
			continue
		}
		if p.Zone == c.zone {
			zoneVMs++
		}
		if !p.mayTake(now, q) || !c.inAllowedRegions(p.Zone, q.Regions) {
			continue
		}
		all = append(all, p)
		if c.regionByZone[p.Zone] == c.regionByZone[c.zone] {
			sameRegion = append(sameRegion, p)
		}
		if p.Zone == c.zone {
			sameZone = append(sameZone, p)
		}
	}
	list := all
	switch {
	case len(sameZone) > 0 && float64(len(sameZone)) >= minZoneShare*float64(zoneVMs):
		list = sameZone
	case len(sameRegion) > 0:
		list = sameRegion
	}
	slices.SortFunc(list, func(a, b *peer) int { return strings.Compare(a.Name, b.Name) })
	return list
}

func (p *peer) mayTake(now time.Time, q Query) bool {
	return !p.Stopping && !slices.Contains(p.Unreachable, q.Service) && !slices.Contains(q.Exclude, p.Name) &&
		!now.Before(p.avoidUntil[""]) && !now.Before(p.avoidUntil[q.Service])
}

func (c *Core) inAllowedRegions(zone string, lists [][]string) bool {
	for _, list := range lists {
		if len(list) > 0 && !slices.Contains(list, c.regionByZone[zone]) {
			return false
		}
	}
	return true
}

// Done ends the count of a request that Choose began.
func (c *Core) Done(vm string) {
	if p := c.peers[vm]; p != nil && p.running > 0 {
		p.running--
	}
}

// Unreachable records that a VM could not be connected to.
func (c *Core) Unreachable(now time.Time, vm string) { c.avoid(now, vm, "") }

// Refused records that a VM could not take a request for a service.
func (c *Core) Refused(now time.Time, vm, service string) { c.avoid(now, vm, service) }

func (c *Core) avoid(now time.Time, vm, service string) {
	if p := c.peers[vm]; p != nil {
		p.avoidUntil[service] = now.Add(avoidInterval)
	}
}
