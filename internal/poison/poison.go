// Package poison detects requests that crash the upstreams that run them, so that
// the VMs reject them when callers send them again. VMs share the broken
// connections that they have seen. The package does no I/O and reads no clock.
package poison

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// crashThreshold is the number of upstream crashes after which a request is
	// blocked.
	crashThreshold = 3
	// disconnectTTL is how long a broken connection counts.
	disconnectTTL = time.Minute
	// maxDisconnects limits the records that are kept.
	maxDisconnects = 2048
	// maxRecent limits the records that are sent to other VMs at once.
	maxRecent = 6
)

// Fingerprint is the same when a caller sends the same request again, also to
// another VM. It is a hash of the request target, team and body.
type Fingerprint uint64

// FingerprintOf returns the fingerprint of a request.
func FingerprintOf(target, team string, body []byte) Fingerprint {
	var d xxhash.Digest
	d.Reset()
	_, _ = d.WriteString(target + "\x00" + team + "\x00") // writing to a hash never fails
	_, _ = d.Write(body)
	return Fingerprint(d.Sum64())
}

// Disconnect records that an incarnation of an upstream broke its connection
// while it ran a request.
type Disconnect struct {
	Fingerprint Fingerprint `cbor:"1,keyasint"`
	Upstream    string      `cbor:"2,keyasint"`
	Incarnation int64       `cbor:"3,keyasint"`
	// AgeMS is the time in milliseconds since the connection broke.
	AgeMS int64 `cbor:"4,keyasint"`
}

type disconnectKey struct {
	fingerprint Fingerprint
	upstream    string
	incarnation int64
}

// Core holds the records of broken connections. It is not safe for concurrent
// use.
type Core struct {
	disconnects map[disconnectKey]time.Time
}

// New returns a core without records.
func New() *Core { return &Core{disconnects: make(map[disconnectKey]time.Time)} }

// Add records a broken connection that this VM or another VM has seen. It ignores
// the connection if maxDisconnects unexpired records are kept already.
func (c *Core) Add(now time.Time, d Disconnect) {
	k := disconnectKey{d.Fingerprint, d.Upstream, d.Incarnation}
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

// Blocked reports whether a request must not be sent any more. A broken
// connection counts as a crash only if the incarnation is no longer in the list of
// upstreams, because connections to healthy upstreams also break.
func (c *Core) Blocked(now time.Time, f Fingerprint, isListed func(upstream string, incarnation int64) bool) bool {
	crashes := 0
	for k, at := range c.disconnects {
		if k.fingerprint == f && now.Sub(at) <= disconnectTTL && !isListed(k.upstream, k.incarnation) {
			crashes++
		}
	}
	return crashes >= crashThreshold
}

// Recent returns the most recent records for other VMs, newest first.
func (c *Core) Recent(now time.Time) []Disconnect {
	c.expire(now)
	out := make([]Disconnect, 0, len(c.disconnects))
	for k, at := range c.disconnects {
		out = append(out, Disconnect{Fingerprint: k.fingerprint, Upstream: k.upstream, Incarnation: k.incarnation, AgeMS: now.Sub(at).Milliseconds()})
	}
	slices.SortFunc(out, func(a, b Disconnect) int { return int(a.AgeMS - b.AgeMS) })
	return out[:min(len(out), maxRecent)]
}
