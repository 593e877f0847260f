// Package poison finds requests that crash the upstreams that run them, so that
// they are not sent on and on. VMs tell each other what they saw; the core is
// pure.
package poison

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// condemnAt is how many upstreams have to have crashed under a request.
	condemnAt = 3
	// markLife is how long a crash counts.
	markLife = time.Minute
	// marksMost bounds the marks that are kept.
	marksMost = 2048
	// tellMost bounds the marks that are told at once, the newest first.
	tellMost = 6
)

// Fingerprint is the same for each return of a request: its path, its caller
// and its body.
type Fingerprint uint64

// Of makes the fingerprint of a request.
func FingerprintOf(target, team string, body []byte) Fingerprint {
	var d xxhash.Digest
	d.Reset()
	_, _ = d.WriteString(target + "\x00" + team + "\x00") // a hash never fails to write
	_, _ = d.Write(body)
	return Fingerprint(d.Sum64())
}

// Mark says that an incarnation broke its connection while it ran a request.
type Disconnect struct {
	Fingerprint Fingerprint `cbor:"1,keyasint"`
	Upstream    string      `cbor:"2,keyasint"`
	Born        int64       `cbor:"3,keyasint"`
	// AgeMS is the time since the connection broke.
	AgeMS int64 `cbor:"4,keyasint"`
}

type key struct {
	fingerprint Fingerprint
	upstream    string
	born        int64
}

// Core keeps the marks. It is not safe for concurrent use.
type Core struct {
	marks map[key]time.Time
}

// New returns a core without marks.
func New() *Core { return &Core{marks: make(map[key]time.Time)} }

// Add notes a broken connection, seen here or told by another VM.
func (c *Core) Add(now time.Time, m Disconnect) {
	k := key{m.Fingerprint, m.Upstream, m.Born}
	at := now.Add(-time.Duration(m.AgeMS) * time.Millisecond)
	if now.Sub(at) > markLife || c.marks[k].After(at) {
		return
	}
	if len(c.marks) >= marksMost {
		c.expire(now)
	}
	if len(c.marks) < marksMost {
		c.marks[k] = at
	}
}

func (c *Core) expire(now time.Time) {
	for k, at := range c.marks {
		if now.Sub(at) > markLife {
			delete(c.marks, k)
		}
	}
}

// Condemned reports whether a request is not to be sent any more. A broken
// connection counts as a crash only when the incarnation is no longer listed:
// answers also get lost between sound upstreams and us.
func (c *Core) Blocked(now time.Time, f Fingerprint, listed func(upstream string, born int64) bool) bool {
	crashes := 0
	for k, at := range c.marks {
		if k.fingerprint == f && now.Sub(at) <= markLife && !listed(k.upstream, k.born) {
			crashes++
		}
	}
	return crashes >= condemnAt
}

// Tell lists the newest marks for other VMs.
func (c *Core) Recent(now time.Time) []Disconnect {
	c.expire(now)
	out := make([]Disconnect, 0, len(c.marks))
	for k, at := range c.marks {
		out = append(out, Disconnect{Fingerprint: k.fingerprint, Upstream: k.upstream, Born: k.born, AgeMS: now.Sub(at).Milliseconds()})
	}
	slices.SortFunc(out, func(a, b Disconnect) int { return int(a.AgeMS - b.AgeMS) })
	return out[:min(len(out), tellMost)]
}
