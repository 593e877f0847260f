// Package poison detects content that crashes the upstreams that run it, so that
// the VMs no longer send requests with it: the same request again, or any request
// with the same shared part of a prompt. VMs share the crashes that they have
// seen. The package does no I/O and reads no clock.
//
// Each crash marks the content of all requests that ran on the upstream. Most of
// them are sound and only happened to be there, so:
//
//   - A request that completes clears the marks of its content.
//   - An upstream that responds to any VM right after a crash was seen has not crashed.
//   - Marks of runs that were under way together count as one. Otherwise a loss of
//     several upstreams at once would mark whatever is sent often.
//   - Crashes that blocked content explains do not count for other content.
package poison

import (
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/hashicorp/golang-lru/v2/simplelru"
)

const (
	// minCrashes is the number of crashes, one after the other, after which content
	// is blocked.
	minCrashes = 3
	// suspicionTTL is how long content below minCrashes is kept after its last crash.
	suspicionTTL = time.Minute
	// blockedTTL is how long blocked content is kept after its last crash. One more
	// crash blocks it again.
	blockedTTL = 30 * time.Minute
	// minBlockTime is how long content is blocked after minCrashes crashes. Each
	// further crash adds the same time.
	minBlockTime = time.Minute
	// maxSuspects and maxMarks limit what is kept: contents, and crashes of each. The
	// longest prompt has some thousand parts, as many as a header of 64 KiB holds.
	maxSuspects = 16384
	maxMarks    = 8
	// evictedShare is the share of the suspects, one in so many, that is dropped at once
	// when there are too many.
	evictedShare = 8
	// maxDroppedMarks limits the crashes of content that are kept beyond maxMarks, by
	// their IDs only.
	maxDroppedMarks = 64
	// maxCompletedParts limits the parts whose last completion is kept.
	maxCompletedParts = 4096
)

// Key identifies content that requests have in common. The lowest bit is set for a
// whole request and clear for a part of a prompt.
type Key uint64

const wholeBit = 1

// whole reports whether the key identifies a whole request.
func (k Key) whole() bool { return k&wholeBit != 0 }

// KeysOf returns the keys of a request's content: first that of its target, team
// and body, which is the same when a caller sends it again, then those of the
// prompt's parts that other requests may share. The header of a request bounds their
// number.
func KeysOf(target, team string, body []byte, sharedParts []string) []Key {
	var d xxhash.Digest
	d.Reset()
	_, _ = d.WriteString(target + "\x00" + team + "\x00") // writing to a hash never fails
	_, _ = d.Write(body)
	keys := append(make([]Key, 0, 1+len(sharedParts)), Key(d.Sum64()|wholeBit))
	for _, part := range sharedParts {
		keys = append(keys, Key(xxhash.Sum64String(part)&^wholeBit))
	}
	return keys
}

// Run is a run of a request whose connection ended before its response did.
type Run struct {
	Upstream    string
	Incarnation int64
	Keys        []Key
	// BeganAt is when the response began, or when the request was sent if it did
	// not.
	BeganAt time.Time
	EndedAt time.Time
}

// crashID identifies a crash by the incarnation of the upstream that it ended.
type crashID uint32

func crashOf(upstream string, incarnation int64) crashID {
	var d xxhash.Digest
	d.ResetWithSeed(uint64(incarnation))
	_, _ = d.WriteString(upstream) // writing to a hash never fails
	return crashID(d.Sum64())      // the low half tells the crashes of an hour apart
}

// mark records that content was running on an upstream that crashed.
type mark struct {
	crash     crashID
	crashedAt time.Time
	// ran is how long the response had been under way. It is kept in place of a
	// time, because it is the same on all VMs.
	ran time.Duration
	// cleared is set once a request with the content has completed after the crash, or
	// a VM knows that there was no crash.
	cleared bool
}

// suspect is content that was running on upstreams that crashed.
type suspect struct {
	marks []mark // by the time of the crash
	// dropped are the crashes before those of the marks that do not fit in any more.
	dropped []crashID
	// depth is the position of the part in prompts, the largest seen; zero for a
	// whole request.
	depth int
	// count is the number of crashes one after the other that are not cleared.
	count     int
	blocked   bool
	changedAt time.Time
	sharedAt  time.Time
}

// lastCrash returns the time of the last crash.
func (s *suspect) lastCrash() time.Time { return s.marks[len(s.marks)-1].crashedAt }

// Core holds what is suspected. It is not safe for concurrent use.
type Core struct {
	vm       string
	suspects map[Key]*suspect
	runs     unconfirmedRuns
	// completedAt is when a request with a part last completed: marks of earlier
	// crashes may arrive later.
	completedAt *simplelru.LRU[Key, time.Time]
	// contactAt is when the last connection on which an incarnation responded was begun.
	contactAt *simplelru.LRU[crashID, time.Time]
	// refutable are the crashes of the latest marks and their times.
	refutable map[crashID]time.Time
	stale     bool // the judgement is older than the marks
	expiredAt time.Time
	verdicts  []Verdict
}

// New returns a core that suspects nothing. The name of the VM makes the VMs end
// the block of some content one after the other.
func New(vm string) *Core {
	completedAt, err := simplelru.NewLRU[Key, time.Time](maxCompletedParts, nil)
	if err != nil {
		panic(err) // the size is a positive constant
	}
	contactAt, err := simplelru.NewLRU[crashID, time.Time](maxContacts, nil)
	if err != nil {
		panic(err) // the size is a positive constant
	}
	return &Core{vm: vm, suspects: make(map[Key]*suspect), runs: newUnconfirmedRuns(), completedAt: completedAt, contactAt: contactAt, refutable: make(map[crashID]time.Time)}
}

// Broken records that an upstream broke the connection of a run. It reports whether
// the caller should check now whether the upstream still accepts connections.
func (c *Core) Broken(now time.Time, r Run) (check bool) { return c.addRun(now, r, false) }

// Dropped records that this VM ended a run whose response had begun. An upstream
// that crashes soon after may have crashed on it.
func (c *Core) Dropped(now time.Time, r Run) { c.addRun(now, r, true) }

// CheckDue reports whether the caller should check now whether an upstream still
// accepts connections, because the end of its response may have been a crash.
func (c *Core) CheckDue(now time.Time, upstream string, incarnation int64) bool {
	return c.runs.checkDue(now, crashOf(upstream, incarnation))
}

func (c *Core) addRun(now time.Time, r Run, dropped bool) (check bool) {
	id := crashOf(r.Upstream, r.Incarnation)
	if crashedAt, ok := c.runs.crashes[id]; ok {
		c.markRuns(now, []unconfirmedRun{{Run: r, crash: id, dropped: dropped}}, crashedAt)
		return false
	}
	return c.runs.add(now, unconfirmedRun{Run: r, crash: id, dropped: dropped})
}

// Confirm records that an incarnation no longer accepts connections: the connections
// that it broke shortly before were broken by a crash. It returns the number of runs
// that were confirmed.
func (c *Core) Confirm(now time.Time, upstream string, incarnation int64) int {
	id := crashOf(upstream, incarnation)
	return c.confirm(now, id, c.runs.lastBrokenAt(id, now))
}

func (c *Core) confirm(now time.Time, id crashID, crashedAt time.Time) int {
	c.runs.expire(now)
	c.runs.discard(id, crashedAt.Add(-maxBreakSpread))
	runs := c.runs.take(id)
	if len(runs) == 0 {
		return 0
	}
	for _, r := range runs {
		if !r.dropped && r.EndedAt.Before(crashedAt) {
			crashedAt = r.EndedAt
		}
	}
	c.runs.recordCrash(now, id, crashedAt)
	c.markRuns(now, runs, crashedAt)
	return len(runs)
}

// Alive records that an incarnation accepted a connection at a time: the
// connections that it broke before were not broken by a crash.
func (c *Core) Alive(at time.Time, upstream string, incarnation int64) {
	c.runs.discard(crashOf(upstream, incarnation), at)
}

// markRuns marks the content of the runs that a crash ended. A run that this VM had
// dropped is marked only if the upstream crashed soon after. Content that is known from
// earlier crashes comes first, so that it is not removed to make room for the rest.
func (c *Core) markRuns(now time.Time, runs []unconfirmedRun, crashedAt time.Time) {
	for _, known := range []bool{true, false} {
		for _, r := range runs {
			if r.dropped && crashedAt.Sub(r.EndedAt) > maxCrashDelay {
				continue
			}
			m := mark{crash: r.crash, crashedAt: crashedAt, ran: max(crashedAt.Sub(r.BeganAt), 0)}
			for depth, k := range r.Keys {
				if (c.suspects[k] != nil) == known {
					c.addMark(now, k, depth, m)
				}
			}
		}
	}
}

// addMark adds a mark, or merges it with the known one of the same crash: VMs see a
// crash at slightly different times, and the earliest counts everywhere.
func (c *Core) addMark(now time.Time, k Key, depth int, m mark) {
	s := c.suspects[k]
	if s == nil {
		if len(c.suspects) >= maxSuspects {
			c.evict(now)
		}
		s = &suspect{}
		c.suspects[k] = s
	}
	s.depth = max(s.depth, depth)
	c.refutable[m.crash] = m.crashedAt
	if completedAt, ok := c.completedAt.Get(k); ok && completedAt.After(m.crashedAt) || c.refuted(m) {
		m.cleared = true
	}
	if s.merge(m) {
		s.changedAt, c.stale = now, true
	}
}

// Completed records that a request with this content completed: it does not crash
// upstreams.
func (c *Core) Completed(now time.Time, keys []Key) {
	for _, k := range keys {
		if !k.whole() {
			c.completedAt.Add(k, now)
		}
		s := c.suspects[k]
		if s == nil {
			continue
		}
		for i := range s.marks {
			if !s.marks[i].cleared {
				s.marks[i].cleared = true
				s.changedAt, c.stale = now, true
			}
		}
		s.dropped = nil
	}
}

// Blocked reports whether a request with this content must not be sent, and for how
// long.
func (c *Core) Blocked(now time.Time, keys []Key) (time.Duration, bool) {
	if len(c.suspects) == 0 {
		return 0, false
	}
	c.judge(now)
	var left time.Duration
	for _, k := range keys {
		if s := c.suspects[k]; s != nil && s.blocked {
			left = max(left, s.lastCrash().Add(c.blockTime(k, s)).Sub(now))
		}
	}
	return left, left > 0
}

// blockTime returns how long content is blocked after its last crash. It differs
// from VM to VM, so that a few requests show whether the content is still harmful
// before all VMs send it.
func (c *Core) blockTime(k Key, s *suspect) time.Duration {
	var d xxhash.Digest
	d.ResetWithSeed(uint64(k))
	_, _ = d.WriteString(c.vm)
	spread := time.Duration(d.Sum64() % uint64(minBlockTime))
	return time.Duration(s.count-minCrashes+1)*minBlockTime + spread
}

// BlockedCount returns the number of contents that have crashed enough upstreams to
// be blocked.
func (c *Core) BlockedCount(now time.Time) int {
	c.judge(now)
	n := 0
	for _, s := range c.suspects {
		if s.blocked {
			n++
		}
	}
	return n
}
