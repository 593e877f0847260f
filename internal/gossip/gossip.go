// Package gossip keeps the entry VMs in touch: small datagrams tell the others
// who is there, what this VM has in progress at the upstreams, and how
// roll-outs go. Every datagram stands alone; a lost one is made good by the
// next. Nothing that must not be wrong depends on it.
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

// Member is an entry VM as the others know it.
type Member struct {
	Name string `cbor:"1,keyasint"`
	// Start tells the starts of a VM apart; the latest is the largest.
	Start   int64  `cbor:"2,keyasint"`
	Address string `cbor:"3,keyasint"`
	Zone    string `cbor:"4,keyasint"`
	// AgeMS is how long ago the member was last heard of, by any path.
	AgeMS int64 `cbor:"5,keyasint"`
}

// Message is one datagram.
type Message struct {
	From    Member   `cbor:"1,keyasint"`
	Members []Member `cbor:"2,keyasint,omitempty"`
	// Loads is what From has in progress.
	Loads    []fleet.Load    `cbor:"3,keyasint,omitempty"`
	RollOuts []canary.Report `cbor:"4,keyasint,omitempty"`
	// Config is the version of the configuration that From has in force.
	Config uint64 `cbor:"5,keyasint,omitempty"`
	// Crashes are upstreams that broke off while they ran a request.
	Disconnects []poison.Disconnect `cbor:"6,keyasint,omitempty"`
	// View is what From knows of the store.
	Digest *relay.Digest `cbor:"7,keyasint,omitempty"`
}

const (
	// aliveTime is how long a VM counts as live after it was last heard of.
	aliveTime = 8 * time.Second
	// forgetTime is when a silent VM is no longer told of.
	forgetTime = 30 * time.Second
	// membersMost bounds the members that one datagram tells of.
	membersMost = 18
)

type peer struct {
	Member
	heard time.Time
}

// Core is the membership. It is pure and not safe for concurrent use.
type Core struct {
	self  Member
	peers map[string]peer
	seeds []string
	// told and passed are where the turns of targets and of members stand.
	told, passed int
	// joined are the addresses of VMs that were first heard of since the last round.
	joined []string
}

// NewCore returns a core that knows only the seeds' addresses.
func NewCore(self Member, seeds []string) *Core {
	// VMs begin their turns at different places, or all would tell the same ones.
	begin := int(xxhash.Sum64String(self.Name) % 1024)
	return &Core{self: self, peers: make(map[string]peer), seeds: seeds, told: begin, passed: begin}
}

// SetSeeds replaces the seeds.
func (c *Core) SetSeeds(seeds []string) { c.seeds = seeds }

// Heard takes the membership part of a datagram.
func (c *Core) Receive(now time.Time, m Message) {
	from := m.From
	from.AgeMS = 0
	if _, known := c.peers[from.Name]; !known && from.Name != c.self.Name {
		c.joined = append(c.joined, from.Address)
	}
	c.learn(now, from)
	for _, other := range m.Members {
		c.learn(now, other)
	}
}

// learn takes newer news of a member: of a later start, or heard of later.
func (c *Core) learn(now time.Time, m Member) {
	if m.Name == "" || m.Name == c.self.Name {
		return
	}
	heard := now.Add(-time.Duration(m.AgeMS) * time.Millisecond)
	old, known := c.peers[m.Name]
	if known && (m.Start < old.Start || (m.Start == old.Start && !heard.After(old.heard))) {
		return
	}
	c.peers[m.Name] = peer{Member: m, heard: heard}
}

// Live lists the names of the VMs that are there, this one among them, sorted.
func (c *Core) Live(now time.Time) []string {
	out := []string{c.self.Name}
	for name, p := range c.peers {
		if now.Sub(p.heard) < aliveTime {
			out = append(out, name)
		}
	}
	slices.Sort(out)
	return out
}

// Zone lists the names of the live VMs in this VM's availability zone, this one
// among them, in no order.
func (c *Core) Zone(now time.Time) []string {
	out := []string{c.self.Name}
	for name, p := range c.peers {
		if p.Zone == c.self.Zone && now.Sub(p.heard) < aliveTime {
			out = append(out, name)
		}
	}
	return out
}

// Greet reports whether a VM was heard of for the first time since the last
// round: it waits for an answer.
func (c *Core) HasNewPeers() bool { return len(c.joined) > 0 }

// Known lists the names of all VMs that may be there, sorted: bounds that are
// divided between the VMs count also those that have been silent for a while.
func (c *Core) Known() []string {
	out := []string{c.self.Name}
	for name := range c.peers {
		out = append(out, name)
	}
	slices.Sort(out)
	return out
}

// LiveStarts lists the live VMs with their starts, as roll-out counters name them.
func (c *Core) LiveStarts(now time.Time, name func(Member) string) map[string]bool {
	out := map[string]bool{name(c.self): true}
	for _, p := range c.peers {
		if now.Sub(p.heard) < aliveTime {
			out[name(p.Member)] = true
		}
	}
	return out
}

// Targets lists the addresses that the next datagrams go to: at most most live
// VMs in turn, those of the own zone and of others alike, and the seeds while
// they are not known to live.
func (c *Core) Targets(now time.Time, most int) []string {
	var live []string
	known := map[string]bool{c.self.Address: true}
	for name, p := range c.peers {
		switch age := now.Sub(p.heard); {
		case age < aliveTime:
			live = append(live, p.Address)
			known[p.Address] = true
		case age > forgetTime:
			delete(c.peers, name)
		}
	}
	slices.Sort(live)
	out := turn(&c.told, live, most)
	for _, address := range c.joined {
		if !slices.Contains(out, address) {
			out = append(out, address)
		}
	}
	c.joined = nil
	for _, s := range c.seeds {
		if !known[s] {
			out = append(out, s)
		}
	}
	return out
}

// turn takes the next n of a list, beginning where it last ended.
func turn(cursor *int, list []string, n int) []string {
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

// Members lists some of the known members for a datagram, in turn.
func (c *Core) Members(now time.Time) []Member {
	names := make([]string, 0, len(c.peers))
	for name := range c.peers {
		names = append(names, name)
	}
	slices.Sort(names)
	names = turn(&c.passed, names, membersMost)
	out := make([]Member, 0, len(names))
	for _, name := range names {
		p := c.peers[name]
		m := p.Member
		m.AgeMS = now.Sub(p.heard).Milliseconds()
		out = append(out, m)
	}
	return out
}
