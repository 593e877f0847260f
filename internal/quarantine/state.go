package quarantine

import (
	"slices"
	"strings"
	"time"
)

// Rules and bounds.
const (
	// strongMarks condemn: crashes that no other fingerprint explains as well.
	strongMarksThreshold = 3
	// aloneMarks of a fingerprint's marks have to be from runs beside which its
	// VM ran nothing else, for strongMarks to condemn.
	aloneMarksThreshold = 2
	// anyMarks condemn whatever else was in progress.
	totalMarksThreshold = 4
	// markLife is how long a mark counts, and a condemnation lasts.
	markTTL = 15 * time.Minute
	// confirmTime is how long a broken connection waits for the upstream to be
	// seen with another incarnation. Without one it was a cut, not a crash.
	confirmTimeout = 30 * time.Second
	// runLife bounds a run whose end was never told.
	maxRunDuration = 15 * time.Minute

	// unseen ends the name of an incarnation that followed the named one.
	unseenSuffix = "+"

	maxSuspects   = 4096
	maxPending    = 4096
	maxRuns       = 65536
	maxShareItems = 128
)

// Token names one run in progress, from Begin to End or Cancel.
type Token uint64

// Status is what is known about a fingerprint.
type Status struct {
	// Condemned: every arrival gets a final answer.
	Condemned bool
	// Hold: as many crashes as condemn may have happened, but not all are
	// confirmed; or it runs here already while under strong suspicion.
	Hold bool
	// Suspect: it runs apart from other requests.
	Suspect bool
}

type run struct {
	token       Token
	fingerprint Fingerprint
	upstream    string
	incarnation string
	startedAt   time.Time
}

// pending is a broken connection not yet known to be a crash, here or at
// another VM.
type pending struct {
	mark       Mark
	receivedAt time.Time // when this VM learned of it
}

// coincidence identifies a mark.
type markID struct {
	fingerprint Fingerprint
	crash       crash
}

type suspect struct {
	marks      map[crash]Mark
	lastMarkAt time.Time
}

// Core decides for one VM from the marks and clears that it knows. The same
// mark counts once, however often it arrives.
type Core struct {
	now              time.Time
	runs             map[Token]run
	runsByUpstream   map[string][]Token // runs in progress by upstream, oldest first
	incarnations     map[string]string  // the latest incarnation by upstream
	pendings         []pending
	suspects         map[Fingerprint]*suspect
	suspectOrder     []Fingerprint // suspects, by first mark
	crashes          map[crash][]Fingerprint
	quarantinedUntil map[Fingerprint]time.Time // condemned until
	clearedAtMS      map[Fingerprint]int64     // AtMS of the latest completion
	knownBroken      map[markID]int64          // AtMS of each broken connection told of
	outgoing         Share
	changed          bool
}

// NewCore returns a core that knows nothing.
func NewCore() *Core {
	return &Core{
		runs: make(map[Token]run), runsByUpstream: make(map[string][]Token), incarnations: make(map[string]string),
		suspects: make(map[Fingerprint]*suspect), crashes: make(map[crash][]Fingerprint),
		quarantinedUntil: make(map[Fingerprint]time.Time),
		clearedAtMS:      make(map[Fingerprint]int64), knownBroken: make(map[markID]int64),
	}
}

// Begin notes the start of a run. An empty incarnation stands for the last one
// seen.
func (c *Core) Begin(now time.Time, t Token, fp Fingerprint, upstream, incarnation string) {
	c.now = now
	if len(c.runs) >= maxRuns {
		return
	}
	if incarnation == "" {
		incarnation = c.incarnations[upstream]
	}
	c.runs[t] = run{token: t, fingerprint: fp, upstream: upstream, incarnation: incarnation, startedAt: now}
	c.runsByUpstream[upstream] = append(c.runsByUpstream[upstream], t)
	c.changed = c.changed || c.suspects[fp] != nil
}

// End notes the end of a run: complete, or its connection broken.
func (c *Core) End(now time.Time, t Token, broken bool, incarnation string) {
	c.now = now
	r, ok := c.runs[t]
	if !ok {
		return
	}
	alone := c.runsAlone(r)
	if r.incarnation == "" {
		r.incarnation = c.incarnations[r.upstream]
	}
	c.removeRun(r)
	if !broken {
		c.recordCompletion(r)
	} else if m := c.newBrokenMark(r, alone); c.addPending(m) && len(c.outgoing.Broken) < maxShareItems {
		c.outgoing.Broken = append(c.outgoing.Broken, m)
	}
	c.Seen(now, r.upstream, incarnation)
}

// Cancel notes the end of a run that says nothing about its request.
func (c *Core) Cancel(now time.Time, t Token) {
	c.now = now
	if r, ok := c.runs[t]; ok {
		c.removeRun(r)
		c.changed = c.changed || c.suspects[r.fingerprint] != nil
	}
}

// broken returns the mark of a run whose connection broke. A run that began
// after the same incarnation had broken already met its unseen successor.
func (c *Core) newBrokenMark(r run, alone bool) Mark {
	m := Mark{
		Fingerprint: r.fingerprint, Upstream: r.upstream, Incarnation: r.incarnation,
		AtMS: c.now.UnixMilli(), Alone: alone,
	}
	for range totalMarksThreshold {
		at, known := c.knownBroken[markID{fingerprint: m.Fingerprint, crash: m.crash()}]
		if !known || m.Incarnation == "" || r.startedAt.UnixMilli() <= at {
			break
		}
		m.Incarnation += unseenSuffix
	}
	return m
}

// suspend keeps a mark until a new incarnation of its upstream confirms it, and
// reports whether it is new. It is new once only: that ends its way through the
// fleet.
func (c *Core) addPending(m Mark) bool {
	id := markID{fingerprint: m.Fingerprint, crash: m.crash()}
	_, known := c.knownBroken[id]
	if known || m.Incarnation == "" || len(c.knownBroken) >= 4*maxPending {
		return false
	}
	c.knownBroken[id] = m.AtMS
	if len(c.pendings) < maxPending && m.AtMS > c.clearedAtMS[m.Fingerprint] {
		c.pendings = append(c.pendings, pending{mark: m, receivedAt: c.now})
		c.changed = true
	}
	return true
}

// alone reports whether no other fingerprint of this VM's is in progress on
// the run's upstream, or just broke there.
func (c *Core) runsAlone(r run) bool {
	for _, t := range c.runsByUpstream[r.upstream] {
		if c.runs[t].fingerprint != r.fingerprint {
			return false
		}
	}
	for _, p := range c.pendings {
		if p.mark.Upstream == r.upstream && p.mark.Incarnation == r.incarnation && p.mark.Fingerprint != r.fingerprint {
			return false
		}
	}
	return true
}

func (c *Core) removeRun(r run) {
	delete(c.runs, r.token)
	remaining := slices.DeleteFunc(c.runsByUpstream[r.upstream], func(t Token) bool { return t == r.token })
	if len(remaining) == 0 {
		delete(c.runsByUpstream, r.upstream)
		return
	}
	c.runsByUpstream[r.upstream] = remaining
}

// completed clears a fingerprint: what completes is no poison.
func (c *Core) recordCompletion(r run) {
	if c.suspects[r.fingerprint] == nil && !c.hasPending(r.fingerprint) {
		return
	}
	cl := Clear{Fingerprint: r.fingerprint, AtMS: c.now.UnixMilli()}
	c.applyClear(cl)
	c.queueClear(cl)
}

// Seen notes an upstream's incarnation, from a response or a load report. A new
// one turns broken connections of the old one into marks.
func (c *Core) Seen(now time.Time, upstream, incarnation string) {
	c.now = now
	if incarnation == "" {
		return
	}
	old := c.incarnations[upstream]
	if old == incarnation {
		return
	}
	c.incarnations[upstream] = incarnation
	remaining := c.pendings[:0]
	var marks []Mark
	for _, p := range c.pendings {
		if p.mark.Upstream == upstream && strings.TrimRight(p.mark.Incarnation, unseenSuffix) == old {
			marks = append(marks, p.mark)
		} else {
			remaining = append(remaining, p)
		}
	}
	c.pendings = remaining
	c.changed = c.changed || len(marks) > 0
	for _, m := range marks {
		if c.addMark(m) {
			c.queueMark(m)
		}
	}
}

// Receive merges what another VM has learned, and passes on what is new.
func (c *Core) Receive(now time.Time, s Share) {
	c.now = now
	for _, m := range s.Marks[:min(len(s.Marks), maxShareItems)] {
		if c.addMark(m) {
			c.queueMark(m)
		}
	}
	for _, m := range s.Broken[:min(len(s.Broken), maxShareItems)] {
		if c.addPending(m) && len(c.outgoing.Broken) < maxShareItems {
			c.outgoing.Broken = append(c.outgoing.Broken, m)
		}
	}
	for _, cl := range s.Clears[:min(len(s.Clears), maxShareItems)] {
		if c.applyClear(cl) {
			c.queueClear(cl)
		}
	}
}

func (c *Core) queueMark(m Mark) {
	if len(c.outgoing.Marks) < maxShareItems {
		c.outgoing.Marks = append(c.outgoing.Marks, m)
	}
}

func (c *Core) queueClear(cl Clear) {
	if len(c.outgoing.Clears) < maxShareItems {
		c.outgoing.Clears = append(c.outgoing.Clears, cl)
	}
}

// mark adds a mark and reports whether it is new.
func (c *Core) addMark(m Mark) bool {
	if m.AtMS <= c.clearedAtMS[m.Fingerprint] {
		return false
	}
	s := c.suspects[m.Fingerprint]
	if s == nil {
		c.evictOldestSuspects()
		s = &suspect{marks: make(map[crash]Mark)}
		c.suspects[m.Fingerprint] = s
		c.suspectOrder = append(c.suspectOrder, m.Fingerprint)
	}
	at := m.crash()
	if _, known := s.marks[at]; known || len(s.marks) >= 2*totalMarksThreshold {
		return false
	}
	s.marks[at] = m
	s.lastMarkAt = c.now
	c.crashes[at] = append(c.crashes[at], m.Fingerprint)
	c.changed = true
	// The worst first: what it explains counts for no other.
	byMarks := slices.Clone(c.crashes[at])
	slices.SortStableFunc(byMarks, func(a, b Fingerprint) int {
		return len(c.suspects[b].marks) - len(c.suspects[a].marks)
	})
	for _, fp := range byMarks {
		c.quarantineIfDue(fp)
	}
	return true
}

func (c *Core) hasPending(fp Fingerprint) bool {
	return slices.ContainsFunc(c.pendings, func(p pending) bool { return p.mark.Fingerprint == fp })
}

// clear drops the marks up to a completion and reports whether it is new.
func (c *Core) applyClear(cl Clear) bool {
	if cl.AtMS <= c.clearedAtMS[cl.Fingerprint] || len(c.clearedAtMS) >= 4*maxSuspects {
		return false
	}
	c.clearedAtMS[cl.Fingerprint] = cl.AtMS
	c.changed = true
	c.pendings = slices.DeleteFunc(c.pendings, func(p pending) bool {
		return p.mark.Fingerprint == cl.Fingerprint && p.mark.AtMS <= cl.AtMS
	})
	s := c.suspects[cl.Fingerprint]
	if s == nil {
		return true
	}
	for at, m := range s.marks {
		if m.AtMS <= cl.AtMS {
			c.unlinkCrash(at, cl.Fingerprint)
			delete(s.marks, at)
		}
	}
	if len(s.marks) == 0 {
		delete(c.quarantinedUntil, cl.Fingerprint)
	}
	return true
}

func (c *Core) unlinkCrash(at crash, fp Fingerprint) {
	remaining := slices.DeleteFunc(c.crashes[at], func(x Fingerprint) bool { return x == fp })
	if len(remaining) == 0 {
		delete(c.crashes, at)
		return
	}
	c.crashes[at] = remaining
}

// judge condemns a fingerprint if its marks suffice.
func (c *Core) quarantineIfDue(fp Fingerprint) {
	if _, quarantined := c.quarantinedUntil[fp]; quarantined {
		return
	}
	strong, alone, total := c.countCrashes(fp)
	if strong >= strongMarksThreshold && alone >= aloneMarksThreshold || total >= totalMarksThreshold {
		c.quarantinedUntil[fp] = c.now.Add(markTTL)
		c.changed = true
	}
}

// weigh counts a fingerprint's crashes. One that a condemned fingerprint took
// part in counts nothing: it is explained. One is strong if the fingerprint was
// alone, or marked more often than any other that took part; the others' broken
// connections count as marks, since confirmations come in any order.
func (c *Core) countCrashes(fp Fingerprint) (strong, alone, total int) {
	s := c.suspects[fp]
	pendingMarks := make(map[Fingerprint]int)
	for _, p := range c.pendings {
		pendingMarks[p.mark.Fingerprint]++
	}
	for at, m := range s.marks {
		explained, maxOtherMarks, hasOthers := false, 0, false
		for _, other := range c.crashes[at] {
			if other == fp {
				continue
			}
			hasOthers = true
			_, quarantined := c.quarantinedUntil[other]
			explained = explained || quarantined
			maxOtherMarks = max(maxOtherMarks, len(c.suspects[other].marks)+pendingMarks[other])
		}
		if explained {
			continue
		}
		total++
		if !hasOthers && m.Alone || hasOthers && len(s.marks) > maxOtherMarks {
			strong++
		}
		if m.Alone {
			alone++
		}
	}
	return strong, alone, total
}
