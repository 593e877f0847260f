package quarantine

import (
	"slices"
	"strings"
	"time"
)

// Thresholds and limits.
const (
	// strongMarksThreshold is the number of crashes after which a fingerprint is
	// quarantined if no other fingerprint explains them equally well.
	strongMarksThreshold = 3
	// aloneMarksThreshold is how many of a fingerprint's marks must come from
	// runs that were alone on their upstream, as far as their VM knows, before
	// strongMarksThreshold applies.
	aloneMarksThreshold = 2
	// totalMarksThreshold is the number of crashes after which a fingerprint is
	// quarantined, regardless of other requests in progress.
	totalMarksThreshold = 4
	// markTTL is how long a mark counts and how long a quarantine lasts.
	markTTL = 15 * time.Minute
	// confirmTimeout is how long after a broken connection a new incarnation of
	// the upstream confirms a crash. Without one only the connection failed.
	confirmTimeout = 30 * time.Second
	// maxRunDuration is the age at which a run is removed whose end was never
	// reported.
	maxRunDuration = 15 * time.Minute

	// unseenSuffix is appended to an incarnation to name its successor, whose
	// own name is not known.
	unseenSuffix = "+"

	maxSuspects   = 4096
	maxPending    = 4096
	maxRuns       = 65536
	maxShareItems = 128
)

// Token identifies one run, from Begin to End or Cancel.
type Token uint64

// Status is the state of a fingerprint.
type Status struct {
	// Quarantined: the request is rejected with a final error.
	Quarantined bool
	// Hold: the request is rejected for now. Either enough crashes for a
	// quarantine may have happened but not all of them are confirmed, or one
	// more may be enough and the request is already running on this VM.
	Hold bool
	// Suspect: the request must run isolated from other requests.
	Suspect bool
}

type run struct {
	token       Token
	fingerprint Fingerprint
	upstream    string
	incarnation string
	startedAt   time.Time
}

// pending is a broken connection of this or another VM that is not yet confirmed
// as a crash.
type pending struct {
	mark       Mark
	receivedAt time.Time // when this VM learned of it, by its own clock
}

// markID identifies a mark.
type markID struct {
	fingerprint Fingerprint
	crash       crash
}

type suspect struct {
	marks      map[crash]Mark
	lastMarkAt time.Time
}

// Core decides for one VM, based on the marks and clears that it has received. A
// mark counts once even if it is received repeatedly.
type Core struct {
	now              time.Time
	runs             map[Token]run
	runsByUpstream   map[string][]Token // runs in progress by upstream, oldest first
	incarnations     map[string]string  // the latest incarnation by upstream
	pendings         []pending
	suspects         map[Fingerprint]*suspect
	suspectOrder     []Fingerprint // suspects in the order of their first marks
	crashes          map[crash][]Fingerprint
	quarantinedUntil map[Fingerprint]time.Time // end of each quarantine
	clearedAtMS      map[Fingerprint]int64     // AtMS of the latest completion
	knownBroken      map[markID]int64          // AtMS of each known broken connection
	outgoing         Updates
	changed          bool
}

// NewCore returns a Core without marks.
func NewCore() *Core {
	return &Core{
		runs: make(map[Token]run), runsByUpstream: make(map[string][]Token), incarnations: make(map[string]string),
		suspects: make(map[Fingerprint]*suspect), crashes: make(map[crash][]Fingerprint),
		quarantinedUntil: make(map[Fingerprint]time.Time),
		clearedAtMS:      make(map[Fingerprint]int64), knownBroken: make(map[markID]int64),
	}
}

// Begin records the start of a run. If incarnation is empty, the upstream's last
// known one is used.
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

// End records the end of a run that completed or whose connection broke.
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
	} else if m := c.newBrokenMark(r, alone); c.addPending(m) && len(c.outgoing.Unconfirmed) < maxShareItems {
		c.outgoing.Unconfirmed = append(c.outgoing.Unconfirmed, m)
	}
	c.ObserveIncarnation(now, r.upstream, incarnation)
}

// Cancel records the end of a run that is no evidence for or against its request.
func (c *Core) Cancel(now time.Time, t Token) {
	c.now = now
	if r, ok := c.runs[t]; ok {
		c.removeRun(r)
		c.changed = c.changed || c.suspects[r.fingerprint] != nil
	}
}

// newBrokenMark returns the mark of a run whose connection broke. If the run
// began after a connection to the same incarnation had already broken for this
// fingerprint, it counts as a run on the successor of that incarnation, whose
// name is not known.
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

// addPending keeps a mark until a new incarnation of its upstream confirms it. It
// returns true if the mark is new to this VM. Only new marks are forwarded, so
// forwarding between VMs ends.
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

// runsAlone reports whether this VM runs no other fingerprint on the run's
// upstream, and none has an unconfirmed broken connection there.
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

// recordCompletion clears a suspected fingerprint, because a request that
// completes is not poison.
func (c *Core) recordCompletion(r run) {
	if c.suspects[r.fingerprint] == nil && !c.hasPending(r.fingerprint) {
		return
	}
	cl := Clear{Fingerprint: r.fingerprint, AtMS: c.now.UnixMilli()}
	c.applyClear(cl)
	c.queueClear(cl)
}

// ObserveIncarnation records an upstream's incarnation, from a response or a load
// report. A new incarnation confirms the broken connections to the old one as
// crashes.
func (c *Core) ObserveIncarnation(now time.Time, upstream, incarnation string) {
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

// Receive applies the updates of another VM and forwards the new ones.
func (c *Core) Receive(now time.Time, s Updates) {
	c.now = now
	for _, m := range s.Marks[:min(len(s.Marks), maxShareItems)] {
		if c.addMark(m) {
			c.queueMark(m)
		}
	}
	for _, m := range s.Unconfirmed[:min(len(s.Unconfirmed), maxShareItems)] {
		if c.addPending(m) && len(c.outgoing.Unconfirmed) < maxShareItems {
			c.outgoing.Unconfirmed = append(c.outgoing.Unconfirmed, m)
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

// addMark adds a mark and reports whether it is new.
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
	// The fingerprint with the most marks is evaluated first: once it is
	// quarantined, the crashes that it explains no longer count for others.
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

// applyClear removes the marks up to a completion and reports whether the
// completion is new.
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

// quarantineIfDue quarantines a fingerprint if it has enough marks.
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

// countCrashes counts a fingerprint's crashes. A crash is ignored if a quarantined
// fingerprint was running too, because that one explains it. A crash is strong if
// the fingerprint was alone, or if it has more marks than any other fingerprint
// that was running. Unconfirmed broken connections of the others count as marks,
// because confirmations arrive in any order.
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
