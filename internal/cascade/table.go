package cascade

import (
	"slices"
	"strings"
)

// Entry is one VM's counter of one key. Sequence increases with each change at
// the origin and thus identifies the newer one of two copies.
type Entry struct {
	Origin   string  `cbor:"1,keyasint"`
	Sequence uint64  `cbor:"2,keyasint"`
	Key      Key     `cbor:"3,keyasint"`
	Counter  Counter `cbor:"4,keyasint"`
}

// Digest lists the highest sequence of each origin that a VM has received.
type Digest struct {
	Origins []OriginSequence `cbor:"1,keyasint"`
}

// OriginSequence is one row of a Digest.
type OriginSequence struct {
	Origin   string `cbor:"1,keyasint"`
	Sequence uint64 `cbor:"2,keyasint"`
}

// maxKeys bounds the keys of one origin, maxOrigins the number of origins.
// Ratings beyond these limits are ignored, and the quality in the document is
// used instead.
const (
	maxKeys    = 4096
	maxOrigins = 512
)

// table holds the counters of all origins. Merging is idempotent and
// commutative, because the newest entry of each origin replaces older ones.
// Hence messages may be lost, duplicated and reordered.
type table struct {
	ownOrigin    string
	lastSequence uint64
	origins      map[string]map[Key]Entry
	maxSequences map[string]uint64
	// totals caches the sums over all origins.
	totals map[Key]Counter
}

func newTable(origin string) *table {
	return &table{ownOrigin: origin, origins: map[string]map[Key]Entry{}, maxSequences: map[string]uint64{}, totals: map[Key]Counter{}}
}

func (t *table) addRating(k Key, v float64, nowMS int64) {
	entries := t.origins[t.ownOrigin]
	if entries == nil {
		entries = map[Key]Entry{}
		t.origins[t.ownOrigin] = entries
	}
	e, ok := entries[k]
	if !ok {
		if len(entries) >= maxKeys {
			return
		}
		e = Entry{Origin: t.ownOrigin, Key: k, Counter: Counter{DecayedToMS: nowMS}}
	}
	e.Counter = e.Counter.decayedTo(nowMS)
	e.Counter.add(v)
	t.lastSequence++
	e.Sequence = t.lastSequence
	entries[k] = e
	t.maxSequences[t.ownOrigin] = t.lastSequence
	total := t.totals[k].decayedTo(nowMS)
	total.DecayedToMS = nowMS
	total.add(v)
	t.totals[k] = total
}

// merge applies entries of other VMs.
func (t *table) merge(entries []Entry, nowMS int64) {
	for _, e := range entries {
		if e.Origin == t.ownOrigin {
			continue
		}
		m := t.origins[e.Origin]
		if m == nil {
			if len(t.origins) >= maxOrigins {
				continue
			}
			m = map[Key]Entry{}
			t.origins[e.Origin] = m
		}
		old, ok := m[e.Key]
		if (ok && old.Sequence >= e.Sequence) || (!ok && len(m) >= maxKeys) {
			continue
		}
		m[e.Key] = e
		t.maxSequences[e.Origin] = max(t.maxSequences[e.Origin], e.Sequence)
		t.recomputeTotal(e.Key, nowMS)
	}
}

func (t *table) recomputeTotal(k Key, nowMS int64) {
	total := Counter{DecayedToMS: nowMS}
	for _, m := range t.origins {
		if e, ok := m[k]; ok {
			total = total.plus(e.Counter.decayedTo(nowMS))
		}
	}
	t.totals[k] = total
}

// get returns the fleet's counter of a key, decayed to the given time.
func (t *table) get(k Key, nowMS int64) Counter { return t.totals[k].decayedTo(nowMS) }

func (t *table) digest() Digest {
	var d Digest
	for o, s := range t.maxSequences {
		d.Origins = append(d.Origins, OriginSequence{o, s})
	}
	slices.SortFunc(d.Origins, func(a, b OriginSequence) int { return strings.Compare(a.Origin, b.Origin) })
	return d
}

// newer returns at most limit entries that the digest's sender lacks. Entries of
// an origin are in the order of their sequences, so that the next exchange
// returns those beyond the limit.
func (t *table) newer(d Digest, limit int) []Entry {
	received := map[string]uint64{}
	for _, o := range d.Origins {
		received[o.Origin] = o.Sequence
	}
	var out []Entry
	for origin, m := range t.origins {
		for _, e := range m {
			if e.Sequence > received[origin] {
				out = append(out, e)
			}
		}
	}
	slices.SortFunc(out, func(a, b Entry) int {
		if c := strings.Compare(a.Origin, b.Origin); c != 0 {
			return c
		}
		if a.Sequence < b.Sequence {
			return -1
		}
		return 1
	})
	if len(out) > limit {
		out = out[:limit]
	}
	return out
}

// evict removes counters whose weight has decayed below minWeight.
func (t *table) evict(nowMS int64) {
	for origin, m := range t.origins {
		for k, e := range m {
			if e.Counter.decayedTo(nowMS).LongTermN < minWeight {
				delete(m, k)
				t.recomputeTotal(k, nowMS)
				if t.totals[k].LongTermN == 0 {
					delete(t.totals, k)
				}
			}
		}
		if len(m) == 0 && origin != t.ownOrigin {
			delete(t.origins, origin)
			delete(t.maxSequences, origin)
		}
	}
}

// minWeight is the weight, in ratings, below which a counter is evicted.
const minWeight = 0.01
