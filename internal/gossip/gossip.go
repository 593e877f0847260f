// Package gossip exchanges state between the entry VMs in small UDP datagrams:
// the membership, the requests that each VM has in flight at the upstreams, the
// progress of roll-outs, content that may crash upstreams, and the digest of each
// VM's copy of the store. No datagram depends on an earlier one, and the contents
// of a lost datagram are sent again later. Nothing that requires consistency
// depends on the gossip.
package gossip

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/cranberrypier/cranberrypier/internal/canary"
	"github.com/cranberrypier/cranberrypier/internal/fleet"
	"github.com/cranberrypier/cranberrypier/internal/poison"
	"github.com/cranberrypier/cranberrypier/internal/relay"
)

// Member describes an entry VM to other VMs.
type Member struct {
	Name string `cbor:"1,keyasint"`
	// Incarnation distinguishes the starts of a VM. It increases with each start.
	Incarnation int64  `cbor:"2,keyasint"`
	Address     string `cbor:"3,keyasint"`
	Zone        string `cbor:"4,keyasint"`
	// AgeMS is the time in milliseconds since any VM last received a datagram from
	// the member, as far as the sender knows.
	AgeMS int64 `cbor:"5,keyasint"`
}

// Message is one datagram.
type Message struct {
	From    Member   `cbor:"1,keyasint"`
	Members []Member `cbor:"2,keyasint,omitempty"`
	// Loads are the requests that From has in flight, by upstream.
	Loads    []fleet.VMLoad  `cbor:"3,keyasint,omitempty"`
	RollOuts []canary.Report `cbor:"4,keyasint,omitempty"`
	// ConfigVersion is the version of the configuration that From uses. Receivers do
	// not use it.
	ConfigVersion uint64 `cbor:"5,keyasint,omitempty"`
	// Suspects are contents of requests that ran on upstreams that crashed. They come
	// in a datagram of their own, whose empty Loads say nothing.
	Suspects []poison.Suspect `cbor:"10,keyasint,omitempty"`
	// Digest is the digest of From's copy of the store.
	Digest *relay.Digest `cbor:"7,keyasint,omitempty"`
	// Departures are upstreams that recently announced that they are leaving.
	Departures []fleet.Departure `cbor:"8,keyasint,omitempty"`
	// Brittle are the services whose upstreams are or were brittle, as far as From knows.
	Brittle []fleet.BrittleReport `cbor:"13,keyasint,omitempty"`
	// Limits are the limits that upstreams name, as far as From knows.
	Limits []fleet.LimitReport `cbor:"14,keyasint,omitempty"`
	// PrefillTimes and CallTimes are From's own estimates of how fast models and plain
	// upstreams are. They come with Members, or for a new VM.
	PrefillTimes []fleet.PrefillReport  `cbor:"21,keyasint,omitempty"`
	CallTimes    []fleet.CallTimeReport `cbor:"22,keyasint,omitempty"`
	// StoreTroubleMS is the time in milliseconds, at least 1, since a VM of From's
	// zone last tried to read the store without success; zero if none did lately.
	StoreTroubleMS int64 `cbor:"9,keyasint,omitempty"`
	// Unreachable are services of which From reaches no upstream.
	Unreachable []string `cbor:"11,keyasint,omitempty"`
	// Stopping is true if From is about to stop.
	Stopping bool `cbor:"12,keyasint,omitempty"`
}

const (
	// liveTimeout is how long after its last datagram a VM counts as live.
	liveTimeout = 8 * time.Second
	// forgetTimeout is how long after its last datagram a VM is removed.
	forgetTimeout = 30 * time.Second
	// maxCrossZoneTargets limits the targets in other zones in one round.
	maxCrossZoneTargets = 3
	// maxNewTargets limits the new VMs that receive a datagram in one round, and
	// maxNewAddresses those that wait for one. The others receive the state from the
	// VMs that have it.
	maxNewTargets   = 16
	maxNewAddresses = 128
	// maxMembers limits the members in one datagram.
	maxMembers = 18
)

type peer struct {
	Member
	lastSeen time.Time
}

// Core holds the membership. It does no I/O and reads no clock. It is not safe
// for concurrent use.
type Core struct {
	self  Member
	peers map[string]peer
	seeds []string
	// targetCursor, crossZoneCursor and memberCursor are the round-robin positions in
	// the lists of targets in this zone and in others, and of members.
	targetCursor, crossZoneCursor, memberCursor int
	// newAddresses are the addresses of previously unknown VMs that have sent a
	// datagram since the last round.
	newAddresses []string
	view         *view
}

// NewCore returns a core without peers, which sends to the seeds at first.
func NewCore(self Member, seeds []string) *Core {
	// VMs start the round-robin at different positions. Otherwise all of them would
	// send to the same targets.
	start := int(xxhash.Sum64String(self.Name) % 1024)
	return &Core{self: self, peers: make(map[string]peer), seeds: seeds, targetCursor: start, crossZoneCursor: start, memberCursor: start}
}

// SetSeeds replaces the seeds.
func (c *Core) SetSeeds(seeds []string) { c.seeds = seeds }

// Receive applies the membership part of a datagram.
func (c *Core) Receive(now time.Time, m Message) {
	from := m.From
	from.AgeMS = 0
	if _, known := c.peers[from.Name]; !known && from.Name != c.self.Name && len(c.newAddresses) < maxNewAddresses {
		c.newAddresses = append(c.newAddresses, from.Address)
	}
	c.merge(now, from)
	for _, other := range m.Members {
		c.merge(now, other)
	}
}

// merge applies the state of a member if it is newer than the known one: from a
// later incarnation, or from the same incarnation with a later last datagram.
func (c *Core) merge(now time.Time, m Member) {
	if m.Name == "" || m.Name == c.self.Name {
		return
	}
	lastSeen := now.Add(-time.Duration(m.AgeMS) * time.Millisecond)
	old, known := c.peers[m.Name]
	if known && (m.Incarnation < old.Incarnation || (m.Incarnation == old.Incarnation && !lastSeen.After(old.lastSeen))) {
		return
	}
	if !known || old.Address != m.Address {
		c.view = nil
	}
	c.peers[m.Name] = peer{Member: m, lastSeen: lastSeen}
}

// Live returns the sorted names of the live VMs, including this VM.
func (c *Core) Live(now time.Time) []string {
	out := []string{c.self.Name}
	for name, p := range c.peers {
		if now.Sub(p.lastSeen) < liveTimeout {
			out = append(out, name)
		}
	}
	slices.Sort(out)
	return out
}

// LiveInZone returns the names of the live VMs in this VM's availability zone,
// including this VM, in no particular order, and the number of zones that have live
// VMs. The caller must not change the list.
func (c *Core) LiveInZone(now time.Time) (names []string, zones int) {
	v := c.currentView(now)
	return v.zoneNames, v.zones
}

// view is what rounds need of the membership. It is kept for viewInterval, because
// its cost grows with the number of VMs, and there are ten rounds a second.
type view struct {
	builtAt time.Time
	// sameZone and otherZones are the sorted addresses of the live VMs.
	sameZone, otherZones []string
	liveAddresses        map[string]bool
	zoneNames            []string
	zones                int
}

// viewInterval is how long a view is used. New VMs and new addresses end it.
const viewInterval = 500 * time.Millisecond

// currentView returns the view, which it rebuilds if it is too old. It then also
// removes VMs after forgetTimeout.
func (c *Core) currentView(now time.Time) *view {
	if c.view != nil && now.Sub(c.view.builtAt) < viewInterval {
		return c.view
	}
	v := &view{builtAt: now, liveAddresses: map[string]bool{c.self.Address: true}, zoneNames: []string{c.self.Name}}
	zones := map[string]bool{c.self.Zone: true}
	for name, p := range c.peers {
		switch age := now.Sub(p.lastSeen); {
		case age < liveTimeout:
			zones[p.Zone] = true
			v.liveAddresses[p.Address] = true
			if p.Zone == c.self.Zone {
				v.zoneNames = append(v.zoneNames, name)
				v.sameZone = append(v.sameZone, p.Address)
			} else {
				v.otherZones = append(v.otherZones, p.Address)
			}
		case age > forgetTimeout:
			delete(c.peers, name)
		}
	}
	slices.Sort(v.sameZone)
	slices.Sort(v.otherZones)
	v.zones = len(zones)
	c.view = v
	return v
}

// HasNewPeers reports whether a previously unknown VM has sent a datagram since
// the last round. That VM needs this VM's state soon.
func (c *Core) HasNewPeers() bool { return len(c.newAddresses) > 0 }

// Known returns the sorted names of this VM and of all VMs that have not been
// removed, live or not. The fleet-wide limits, such as the retry budget, are
// divided among them. VMs that seem to have stopped are included, because they may
// still be serving and use their share.
func (c *Core) Known() []string {
	out := []string{c.self.Name}
	for name := range c.peers {
		out = append(out, name)
	}
	slices.Sort(out)
	return out
}

// LiveIncarnations returns the names of the live VMs' incarnations, including this
// VM's. Roll-out counters are kept per incarnation.
func (c *Core) LiveIncarnations(now time.Time, name func(Member) string) map[string]bool {
	out := map[string]bool{name(c.self): true}
	for _, p := range c.peers {
		if now.Sub(p.lastSeen) < liveTimeout {
			out[name(p.Member)] = true
		}
	}
	return out
}

// NextTargets returns the addresses for the next datagrams: the next n live VMs in
// round-robin order, at most maxNewTargets of the new VMs, and the seeds that are not
// known to be live. Of the live VMs, at most maxCrossZoneTargets are in other zones
// unless this zone has too few, because traffic between zones is billed.
func (c *Core) NextTargets(now time.Time, n int) []string {
	v := c.currentView(now)
	others := min(len(v.otherZones), max(maxCrossZoneTargets, n-len(v.sameZone)))
	out := rotate(&c.targetCursor, v.sameZone, n-others)
	out = append(out, rotate(&c.crossZoneCursor, v.otherZones, others)...)
	taken := min(len(c.newAddresses), maxNewTargets)
	for _, address := range c.newAddresses[:taken] {
		if !slices.Contains(out, address) {
			out = append(out, address)
		}
	}
	c.newAddresses = slices.Delete(c.newAddresses, 0, taken)
	for _, seed := range c.seeds {
		if !v.liveAddresses[seed] {
			out = append(out, seed)
		}
	}
	return out
}

// rotate returns the next n entries of a list after the cursor and advances the
// cursor.
func rotate(cursor *int, list []string, n int) []string {
	if len(list) <= n {
		return slices.Clone(list)
	}
	out := make([]string, 0, n)
	for range n {
		*cursor++
		out = append(out, list[*cursor%len(list)])
	}
	return out
}

// NextMembers returns the known members for the next datagram, at most maxMembers
// in round-robin order.
func (c *Core) NextMembers(now time.Time) []Member {
	names := make([]string, 0, len(c.peers))
	for name := range c.peers {
		names = append(names, name)
	}
	slices.Sort(names)
	names = rotate(&c.memberCursor, names, maxMembers)
	out := make([]Member, 0, len(names))
	for _, name := range names {
		p := c.peers[name]
		m := p.Member
		m.AgeMS = now.Sub(p.lastSeen).Milliseconds()
		out = append(out, m)
	}
	return out
}
