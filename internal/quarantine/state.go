package quarantine

import (
	"slices"
	"strings"
	"time"
)

// Rules and bounds.
const (
	// strongMarks condemn: crashes that no other fingerprint explains as well.
	strongMarks = 3
	// aloneMarks of a fingerprint's marks have to be from runs beside which its
	// VM ran nothing else, for strongMarks to condemn.
	aloneMarks = 2
	// anyMarks condemn whatever else was in progress.
	anyMarks = 4
	// markLife is how long a mark counts, and a condemnation lasts.
	markLife = 15 * time.Minute
	// confirmTime is how long a broken connection waits for the upstream to be
	// seen with another incarnation. Without one it was a cut, not a crash.
	confirmTime = 30 * time.Second
	// runLife bounds a run whose end was never told.
	runLife = 15 * time.Minute

	// unseen ends the name of an incarnation that followed the named one.
	unseen = "+"

	maxSuspects = 4096
	maxPending  = 4096
	maxRuns     = 65536
	shareMost   = 128
)

// Token names one run in progress, from Begin to End or Cancel.
type Token uint64

// Status is what is known about a fingerprint.
type Status struct {
	// Condemned: every arrival gets a final answer.
	Quarantined bool
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
	began       time.Time
}

// pending is a broken connection not yet known to be a crash, here or at
// another VM.
type pending struct {
	mark Mark
	at   time.Time // when this VM learned of it
}

// coincidence identifies a mark.
type coincidence struct {
	fingerprint Fingerprint
	at          crash
}

type suspect struct {
	marks  map[crash]Mark
	latest time.Time
}

// Core decides for one VM from the marks and clears that it knows. The same
// mark counts once, however often it arrives.
type Core struct {
	now      time.Time
	runs     map[Token]run
	onto     map[string][]Token // runs in progress by upstream, oldest first
	seen     map[string]string  // the latest incarnation by upstream
	pendings []pending
	suspects map[Fingerprint]*suspect
	order    []Fingerprint // suspects, by first mark
	crashes  map[crash][]Fingerprint
	verdicts map[Fingerprint]time.Time // condemned until
	cleared  map[Fingerprint]int64     // AtMS of the latest completion
	heard    map[coincidence]int64     // AtMS of each broken connection told of
	share    Share
	changed  bool
}

// NewCore returns a core that knows nothing.
func NewCore() *Core {
	return &Core{
		runs: make(map[Token]run), onto: make(map[string][]Token), seen: make(map[string]string),
		suspects: make(map[Fingerprint]*suspect), crashes: make(map[crash][]Fingerprint),
		verdicts: make(map[Fingerprint]time.Time),
		cleared:  make(map[Fingerprint]int64), heard: make(map[coincidence]int64),
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
		incarnation = c.seen[upstream]
	}
	c.runs[t] = run{token: t, fingerprint: fp, upstream: upstream, incarnation: incarnation, began: now}
	c.onto[upstream] = append(c.onto[upstream], t)
	c.changed = c.changed || c.suspects[fp] != nil
}

// End notes the end of a run: complete, or its connection broken.
func (c *Core) End(now time.Time, t Token, crashed bool, incarnation string) {
	c.now = now
	r, ok := c.runs[t]
	if !ok {
		return
	}
	alone := c.alone(r)
	if r.incarnation == "" {
		r.incarnation = c.seen[r.upstream]
	}
	c.remove(r)
	if !crashed {
		c.completed(r)
	} else if m := c.broken(r, alone); c.suspend(m) && len(c.share.Broken) < shareMost {
		c.share.Broken = append(c.share.Broken, m)
	}
	c.ObserveIncarnation(now, r.upstream, incarnation)
}

// Cancel notes the end of a run that says nothing about its request.
func (c *Core) Cancel(now time.Time, t Token) {
	c.now = now
	if r, ok := c.runs[t]; ok {
		c.remove(r)
		c.changed = c.changed || c.suspects[r.fingerprint] != nil
	}
}

// broken returns the mark of a run whose connection broke. A run that began
// after the same incarnation had broken already met its unseen successor.
func (c *Core) broken(r run, alone bool) Mark {
	m := Mark{
		Fingerprint: r.fingerprint, Upstream: r.upstream, Incarnation: r.incarnation,
		AtMS: c.now.UnixMilli(), Alone: alone,
	}
	for range anyMarks {
		at, known := c.heard[coincidence{fingerprint: m.Fingerprint, at: m.crash()}]
		if !known || m.Incarnation == "" || r.began.UnixMilli() <= at {
			break
		}
		m.Incarnation += unseen
	}
	return m
}

// suspend keeps a mark until a new incarnation of its upstream confirms it, and
// reports whether it is new. It is new once only: that ends its way through the
// fleet.
func (c *Core) suspend(m Mark) bool {
	id := coincidence{fingerprint: m.Fingerprint, at: m.crash()}
	_, known := c.heard[id]
	if known || m.Incarnation == "" || len(c.heard) >= 4*maxPending {
		return false
	}
	c.heard[id] = m.AtMS
	if len(c.pendings) < maxPending && m.AtMS > c.cleared[m.Fingerprint] {
		c.pendings = append(c.pendings, pending{mark: m, at: c.now})
		c.changed = true
	}
	return true
}

// alone reports whether no other fingerprint of this VM's is in progress on
// the run's upstream, or just broke there.
func (c *Core) alone(r run) bool {
	for _, t := range c.onto[r.upstream] {
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

func (c *Core) remove(r run) {
	delete(c.runs, r.token)
	left := slices.DeleteFunc(c.onto[r.upstream], func(t Token) bool { return t == r.token })
	if len(left) == 0 {
		delete(c.onto, r.upstream)
		return
	}
	c.onto[r.upstream] = left
}

// completed clears a fingerprint: what completes is no poison.
func (c *Core) completed(r run) {
	if c.suspects[r.fingerprint] == nil && !c.pendingOf(r.fingerprint) {
		return
	}
	cl := Clear{Fingerprint: r.fingerprint, AtMS: c.now.UnixMilli()}
	c.clear(cl)
	c.tellClear(cl)
}

// Seen notes an upstream's incarnation, from a response or a load report. A new
// one turns broken connections of the old one into marks.
func (c *Core) ObserveIncarnation(now time.Time, upstream, incarnation string) {
	c.now = now
	if incarnation == "" {
		return
	}
	old := c.seen[upstream]
	if old == incarnation {
		return
	}
	c.seen[upstream] = incarnation
	kept := c.pendings[:0]
	var marks []Mark
	for _, p := range c.pendings {
		if p.mark.Upstream == upstream && strings.TrimRight(p.mark.Incarnation, unseen) == old {
			marks = append(marks, p.mark)
		} else {
			kept = append(kept, p)
		}
	}
	c.pendings = kept
	c.changed = c.changed || len(marks) > 0
	for _, m := range marks {
		if c.mark(m) {
			c.tellMark(m)
		}
	}
}

// Receive merges what another VM has learned, and passes on what is new.
func (c *Core) Receive(now time.Time, s Share) {
	c.now = now
	for _, m := range s.Marks[:min(len(s.Marks), shareMost)] {
		if c.mark(m) {
			c.tellMark(m)
		}
	}
	for _, m := range s.Broken[:min(len(s.Broken), shareMost)] {
		if c.suspend(m) && len(c.share.Broken) < shareMost {
			c.share.Broken = append(c.share.Broken, m)
		}
	}
	for _, cl := range s.Clears[:min(len(s.Clears), shareMost)] {
		if c.clear(cl) {
			c.tellClear(cl)
		}
	}
}

func (c *Core) tellMark(m Mark) {
	if len(c.share.Marks) < shareMost {
		c.share.Marks = append(c.share.Marks, m)
	}
}

func (c *Core) tellClear(cl Clear) {
	if len(c.share.Clears) < shareMost {
		c.share.Clears = append(c.share.Clears, cl)
	}
}

// mark adds a mark and reports whether it is new.
func (c *Core) mark(m Mark) bool {
	if m.AtMS <= c.cleared[m.Fingerprint] {
		return false
	}
	s := c.suspects[m.Fingerprint]
	if s == nil {
		c.makeRoom()
		s = &suspect{marks: make(map[crash]Mark)}
		c.suspects[m.Fingerprint] = s
		c.order = append(c.order, m.Fingerprint)
	}
	at := m.crash()
	if _, known := s.marks[at]; known || len(s.marks) >= 2*anyMarks {
		return false
	}
	s.marks[at] = m
	s.latest = c.now
	c.crashes[at] = append(c.crashes[at], m.Fingerprint)
	c.changed = true
	// The worst first: what it explains counts for no other.
	worst := slices.Clone(c.crashes[at])
	slices.SortStableFunc(worst, func(a, b Fingerprint) int {
		return len(c.suspects[b].marks) - len(c.suspects[a].marks)
	})
	for _, fp := range worst {
		c.judge(fp)
	}
	return true
}

func (c *Core) pendingOf(fp Fingerprint) bool {
	return slices.ContainsFunc(c.pendings, func(p pending) bool { return p.mark.Fingerprint == fp })
}

// clear drops the marks up to a completion and reports whether it is new.
func (c *Core) clear(cl Clear) bool {
	if cl.AtMS <= c.cleared[cl.Fingerprint] || len(c.cleared) >= 4*maxSuspects {
		return false
	}
	c.cleared[cl.Fingerprint] = cl.AtMS
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
			c.drop(at, cl.Fingerprint)
			delete(s.marks, at)
		}
	}
	if len(s.marks) == 0 {
		delete(c.verdicts, cl.Fingerprint)
	}
	return true
}

func (c *Core) drop(at crash, fp Fingerprint) {
	left := slices.DeleteFunc(c.crashes[at], func(x Fingerprint) bool { return x == fp })
	if len(left) == 0 {
		delete(c.crashes, at)
		return
	}
	c.crashes[at] = left
}

// judge condemns a fingerprint if its marks suffice.
func (c *Core) judge(fp Fingerprint) {
	if _, done := c.verdicts[fp]; done {
		return
	}
	strong, alone, all := c.weigh(fp)
	if strong >= strongMarks && alone >= aloneMarks || all >= anyMarks {
		c.verdicts[fp] = c.now.Add(markLife)
		c.changed = true
	}
}

// weigh counts a fingerprint's crashes. One that a condemned fingerprint took
// part in counts nothing: it is explained. One is strong if the fingerprint was
// alone, or marked more often than any other that took part; the others' broken
// connections count as marks, since confirmations come in any order.
func (c *Core) weigh(fp Fingerprint) (strong, alone, all int) {
	s := c.suspects[fp]
	waiting := make(map[Fingerprint]int)
	for _, p := range c.pendings {
		waiting[p.mark.Fingerprint]++
	}
	for at, m := range s.marks {
		explained, best, company := false, 0, false
		for _, other := range c.crashes[at] {
			if other == fp {
				continue
			}
			company = true
			_, condemned := c.verdicts[other]
			explained = explained || condemned
			best = max(best, len(c.suspects[other].marks)+waiting[other])
		}
		if explained {
			continue
		}
		all++
		if !company && m.Alone || company && len(s.marks) > best {
			strong++
		}
		if m.Alone {
			alone++
		}
	}
	return strong, alone, all
}
