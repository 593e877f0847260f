package engine

import (
	"slices"
	"time"

	"github.com/cranberrypier/cranberrypier/internal/wire"
)

const (
	// maxCacheEvents bounds the number of stored cache events.
	maxCacheEvents = 4096
	// maxLoadSnapshots bounds the number of stored load snapshots.
	maxLoadSnapshots = 4096
)

// cache is a prefix cache that evicts the least recently used entry. Its events
// become visible after eventLag, and every eventGap-th event is lost.
type cache struct {
	maxEntries int
	eventGap   int
	eventLag   time.Duration
	lastUsed   map[uint64]time.Time
	events     []cacheEvent
	seq        uint64
}

type cacheEvent struct {
	at   time.Time
	body wire.CacheEventBody
}

func newCache(settings Settings) cache {
	return cache{maxEntries: settings.CacheEntries, eventGap: settings.CacheGap, eventLag: settings.CacheLag.D(), lastUsed: map[uint64]time.Time{}}
}

// touch records a use of a prefix and reports whether it was cached.
func (c *cache) touch(hash uint64, now time.Time) bool {
	_, hit := c.lastUsed[hash]
	c.lastUsed[hash] = now
	if hit {
		return true
	}
	c.addEvent(hash, true, now)
	if len(c.lastUsed) <= c.maxEntries {
		return false
	}
	oldest, oldestUse := hash, now
	for h, t := range c.lastUsed {
		if t.Before(oldestUse) {
			oldest, oldestUse = h, t
		}
	}
	delete(c.lastUsed, oldest)
	c.addEvent(oldest, false, now)
	return false
}

func (c *cache) clear(now time.Time) {
	for h := range c.lastUsed {
		c.addEvent(h, false, now)
	}
	clear(c.lastUsed)
}

// addEvent appends an event. Every eventGap-th event takes a sequence number
// but is not stored.
func (c *cache) addEvent(hash uint64, added bool, now time.Time) {
	c.seq++
	if c.eventGap > 0 && c.seq%uint64(c.eventGap) == 0 {
		return
	}
	c.events = append(c.events, cacheEvent{now, wire.CacheEventBody{Seq: c.seq, Hash: hash, Added: added}})
	if len(c.events) > maxCacheEvents {
		c.events = slices.Delete(c.events, 0, len(c.events)-maxCacheEvents)
	}
}

// eventsAfter returns the events after a sequence number that are at least
// eventLag old.
func (c *cache) eventsAfter(seq uint64, now time.Time) wire.CacheEventsBody {
	body := wire.CacheEventsBody{Next: seq, Events: []wire.CacheEventBody{}}
	for _, e := range c.events {
		if e.body.Seq > seq && !e.at.After(now.Add(-c.eventLag)) {
			body.Events = append(body.Events, e.body)
			body.Next = e.body.Seq
		}
	}
	return body
}

// touchPrefix records a use of the prefix of a prompt and reports whether it was
// cached.
func (s *state) touchPrefix(hash uint64, now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	hit := s.cache.touch(hash, now)
	if hit {
		s.counters.CacheHits++
	} else {
		s.counters.CacheMisses++
	}
	return hit
}

func (s *state) cacheEvents(after uint64, now time.Time) wire.CacheEventsBody {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.cache.eventsAfter(after, now)
}

// recordLoadLocked stores a snapshot of the load for delayed reports.
func (s *state) recordLoadLocked(now time.Time) {
	s.snapshots = append(s.snapshots, loadSnapshot{now, wire.LoadBody{
		Incarnation: s.incarnationLocked(), Running: s.running, Queued: len(s.queue),
	}})
	// Of the snapshots that are at least LoadLag old, only the newest is needed.
	firstKept := 0
	for firstKept+1 < len(s.snapshots) && !s.snapshots[firstKept+1].at.After(now.Add(-s.settings.LoadLag.D())) {
		firstKept++
	}
	firstKept = max(firstKept, len(s.snapshots)-maxLoadSnapshots)
	s.snapshots = slices.Delete(s.snapshots, 0, firstKept)
}

// loadReport returns the load as it was LoadLag ago. Only the list of loaded
// versions is current.
func (s *state) loadReport(now time.Time) wire.LoadBody {
	s.mu.Lock()
	defer s.mu.Unlock()
	at := now.Add(-s.settings.LoadLag.D())
	body := s.snapshots[0].body
	for _, p := range s.snapshots {
		if !p.at.After(at) {
			body = p.body
		}
	}
	body.State = s.stateLocked(at)
	body.TakenAtMS = at.UnixMilli()
	body.Loaded = []string{}
	for _, v := range s.settings.Versions {
		if s.isLoadedLocked(v.Name, now) {
			body.Loaded = append(body.Loaded, v.Name)
		}
	}
	body.Prefixes = make([]wire.PrefixBody, 0, len(s.cache.lastUsed))
	for h, t := range s.cache.lastUsed {
		if !t.After(at) {
			body.Prefixes = append(body.Prefixes, wire.PrefixBody{Hash: h, AgeMS: now.Sub(t).Milliseconds()})
		}
	}
	slices.SortFunc(body.Prefixes, func(a, b wire.PrefixBody) int { return int(a.AgeMS - b.AgeMS) })
	return body
}

func (s *state) isLoadedLocked(target string, now time.Time) bool {
	at, ok := s.loadedAt[target]
	return ok && !at.After(now)
}

// applyOrder applies an order and returns whether it was accepted. Orders are
// declarative, so applying one again changes nothing.
func (s *state) applyOrder(o wire.OrderBody, ignoreFencing bool, now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if o.Fence < s.maxFence {
		if s.settings.Fencing && !ignoreFencing {
			s.counters.RejectedOrders++
			return false
		}
		s.counters.StaleOrders++
	}
	s.maxFence = max(s.maxFence, o.Fence)
	s.counters.Orders++
	switch o.Op {
	case "load":
		if _, known := s.versions[o.Version]; known && s.loadedAt[o.Version].IsZero() {
			s.loadedAt[o.Version] = now.Add(s.settings.LoadTime.D())
		}
	case "unload":
		delete(s.loadedAt, o.Version)
	case "role":
		s.role = o.Role
	}
	return true
}
