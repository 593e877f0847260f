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
	crashThreshold = 3
	// markLife is how long a crash counts.
	disconnectTTL = time.Minute
	// marksMost bounds the marks that are kept.
	maxDisconnects = 2048
	// tellMost bounds the marks that are told at once, the newest first.
	maxRecent = 6
)

// Fingerprint is the same for each return of a request: its path, its caller
// and its body.
type Fingerprint uint64

// Of makes the fingerprint of a request.
func Of(target, team string, body []byte) Fingerprint {
	var d xxhash.Digest
	d.Reset()
	_, _ = d.WriteString(target + "\x00" + team + "\x00") // a hash never fails to write
	_, _ = d.Write(body)
	return Fingerprint(d.Sum64())
}

// Mark says that an incarnation broke its connection while it ran a request.
type Mark struct {
	Fingerprint Fingerprint `cbor:"1,keyasint"`
	Upstream    string      `cbor:"2,keyasint"`
	Born        int64       `cbor:"3,keyasint"`
	// AgeMS is the time since the connection broke.
	AgeMS int64 `cbor:"4,keyasint"`
}

type disconnectKey struct {
	fingerprint Fingerprint
	upstream    string
	born        int64
}

// Core keeps the marks. It is not safe for concurrent use.
type Core struct {
	disconnects map[disconnectKey]time.Time
}

// New returns a core without marks.
func New() *Core { return &Core{disconnects: make(map[disconnectKey]time.Time)} }

// Add notes a broken connection, seen here or told by another VM.
func (c *Core) Add(now time.Time, d Mark) {
	k := disconnectKey{d.Fingerprint, d.Upstream, d.Born}
	at := now.Add(-time.Duration(d.AgeMS) * time.Millisecond)
	if now.Sub(at) > disconnectTTL || c.disconnects[k].After(at) {
		return
	}
	if len(c.disconnects) >= maxDisconnects {
		c.expire(now)
	}
	if len(c.disconnects) < maxDisconnects {
		c.disconnects[k] = at
	}
}

func (c *Core) expire(now time.Time) {
	for k, at := range c.disconnects {
		if now.Sub(at) > disconnectTTL {
			delete(c.disconnects, k)
		}
	}
}

// Condemned reports whether a request is not to be sent any more. A broken
// connection counts as a crash only when the incarnation is no longer listed:
// answers also get lost between sound upstreams and us.
func (c *Core) Condemned(now time.Time, f Fingerprint, isListed func(upstream string, born int64) bool) bool {
	crashes := 0
	for k, at := range c.disconnects {
		if k.fingerprint == f && now.Sub(at) <= disconnectTTL && !isListed(k.upstream, k.born) {
			crashes++
		}
	}
	return crashes >= crashThreshold
}

// Tell lists the newest marks for other VMs.
func (c *Core) Tell(now time.Time) []Mark {
	c.expire(now)
	out := make([]Mark, 0, len(c.disconnects))
	for k, at := range c.disconnects {
		out = append(out, Mark{Fingerprint: k.fingerprint, Upstream: k.upstream, Born: k.born, AgeMS: now.Sub(at).Milliseconds()})
	}
	slices.SortFunc(out, func(a, b Mark) int { return int(a.AgeMS - b.AgeMS) })
	return out[:min(len(out), maxRecent)]
}
