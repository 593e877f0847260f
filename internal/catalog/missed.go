package catalog

import (
	"time"

	"k8s.io/klog/v2"
)

const (
	// missedCheckDelay is how long after the prober has seen a revision the other
	// watchers have received the change that got it, also those that wait for more changes
	// of a burst.
	missedCheckDelay = time.Second
	// minRepeatInterval is the minimum time between two repetitions of the watches because
	// of a revision that no watch delivered. It doubles, up to maxRepeatInterval, while
	// they bring nothing: the store may have kinds that nobody here watches, and revisions
	// that no change has got.
	minRepeatInterval = 2 * time.Second
	maxRepeatInterval = 28 * time.Second
	// maxSeenRevisions limits the revisions that are kept until the prober has seen them.
	maxSeenRevisions = 4096
)

// seenRevisions holds the revisions of the changes that any watcher has received. The
// store has one counter for all kinds. It is not safe for concurrent use.
type seenRevisions struct {
	// until is the revision up to which nothing is missing, or has been given up.
	until uint64
	seen  map[uint64]struct{}
}

// record adds the revision of a received change.
func (s *seenRevisions) record(revision uint64) {
	if s.seen == nil || len(s.seen) >= maxSeenRevisions {
		s.seen = make(map[uint64]struct{})
	}
	if revision > s.until {
		s.seen[revision] = struct{}{}
	}
}

// advance reports whether a revision up to the given one is missing, and forgets them.
// Revisions before the first one, or of an earlier era, are not missing.
func (s *seenRevisions) advance(until uint64) (missing bool) {
	if until <= s.until {
		return false
	}
	if s.until != 0 && EraOf(s.until) == EraOf(until) {
		missing = until-s.until > uint64(len(s.seen))
		for r := s.until + 1; !missing && r <= until; r++ {
			_, found := s.seen[r]
			missing = !found
		}
	}
	s.until = until
	for r := range s.seen {
		if r <= until {
			delete(s.seen, r)
		}
	}
	return missing
}

// missedChanges decides when the watches of a group are repeated because the prober has
// seen a revision that no watch delivered. It is guarded by the group's lock.
type missedChanges struct {
	seen seenRevisions
	// proberAt is the latest revision that the prober has seen.
	proberAt uint64
	// checkPlanned and repeatPlanned are true while a timer runs.
	checkPlanned, repeatPlanned bool
	repeatedAt                  time.Time
	repeatInterval              time.Duration
}

// proberReached is called with the revision of a response to the prober, after its
// changes were applied. The response to the watch of another kind may have been lost, for
// this VM or for all: its connection then stays silent until the wait is over.
func (g *Group) proberReached(revision uint64) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if revision <= g.missed.proberAt {
		return
	}
	g.missed.proberAt = revision
	if !g.missed.checkPlanned {
		g.missed.checkPlanned = true
		time.AfterFunc(missedCheckDelay, g.checkMissed)
	}
}

// recordSeen records the revisions of changes that were received.
func (g *Group) recordSeen(kind Kind, changes []Change, fresh int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, c := range changes {
		g.missed.seen.record(c.Object.Revision)
	}
	if fresh > 0 && g.prober != nil && kind != g.prober.kind {
		g.missed.repeatInterval = 0
	}
}

// recordListed records that the prober's kind was listed: what happened before is not
// told change by change.
func (g *Group) recordListed(kind Kind, revision uint64) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.prober != nil && kind == g.prober.kind {
		g.missed.seen.advance(revision)
	}
}

func (g *Group) checkMissed() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.missed.checkPlanned = false
	if !g.missed.seen.advance(g.missed.proberAt) || g.missed.repeatPlanned {
		return
	}
	g.missed.repeatPlanned = true
	time.AfterFunc(time.Until(g.missed.repeatedAt.Add(g.missed.repeatInterval)), g.repeatWatches)
}

// repeatWatches restarts the watchers that are not complete up to the prober's revision.
func (g *Group) repeatWatches() {
	g.mu.Lock()
	defer g.mu.Unlock()
	m := &g.missed
	m.repeatPlanned, m.repeatedAt = false, time.Now()
	m.repeatInterval = min(max(2*m.repeatInterval, minRepeatInterval), maxRepeatInterval)
	if g.mode != Watching {
		return
	}
	klog.InfoS("catalog: no watch has delivered a change that the store has; the watches are repeated", "revision", m.proberAt, "nextNotBefore", m.repeatInterval)
	for _, w := range g.watchers {
		if w != g.prober && g.cache.CompleteRevision(w.kind) < m.proberAt {
			w.restart(minRestartAge)
		}
	}
}
