// Package canary moves a service's requests to a new version: a small share of
// the sessions first, the rest once the pooled outcomes of all VMs speak for
// it, nothing any more once they speak against it. The core is pure: the time
// and what other VMs have seen are passed in.
package canary

import (
	"maps"
	"math"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Phase is the progress of a roll-out as it is reported to operators.
type Phase int

// The phases.
const (
	InProgress Phase = iota
	Completed
	Reverted
)

var phaseNames = [...]string{"in_progress", "completed", "reverted"}

// String names the phase in logs.
func (p Phase) String() string { return phaseNames[p] }

// Order is an operator's order to move a service to a version.
type RollOut struct {
	Service  string
	Target   string
	Duration time.Duration
	// Phase is what was last reported of the order.
	Phase Phase
}

// Shares of the order's duration and of the sessions.
const (
	// trialEnd ends the trial: until then sessions keep the old version.
	trialEnd = 0.52
	// fullAt is when all sessions are on the new version.
	fullAt = 0.62
	// forceAt is when a good version is reported complete although requests
	// still run on the old one.
	forceAt = 0.88
	// trialUse is the part of the allowed exposure that the trial uses.
	trialUse = 0.55
	// quietTime at the start belongs to the old version: the VMs tell each other
	// which sessions of the trial's share they have on it.
	quietTime = 2500 * time.Millisecond
	// keptMost bounds the sessions that one report tells of.
	keptMost = 48
	// tellMost bounds the other VMs whose counters a report passes on.
	tellMost = 6
	// drainWait is how long all sessions have to be on the new version before
	// it may be complete, so that all VMs have come that far.
	drainWait = 1500 * time.Millisecond
)

// Tally counts outcomes of attempts on one version of a route.
type Tally struct {
	Total uint32 `cbor:"1,keyasint"`
	// Bad counts failures and answers that came much later than expected.
	Bad uint32 `cbor:"2,keyasint"`
}

// Counters are one VM's outcomes by route, on the new version and on the others.
type Counters struct {
	New map[string]Tally `cbor:"1,keyasint"`
	Old map[string]Tally `cbor:"2,keyasint"`
	// OldRunning counts requests in progress on the other versions.
	OldRunning int `cbor:"3,keyasint"`
}

// Report is what a VM tells the others about a roll-out.
type Report struct {
	Service string `cbor:"1,keyasint"`
	Target  string `cbor:"2,keyasint"`
	// AgeMS is the time since the order was first seen by any VM.
	AgeMS int64 `cbor:"3,keyasint"`
	// Condemned is set for good once a VM has found the version bad.
	Condemned bool `cbor:"4,keyasint"`
	// VMs are the counters by VM and incarnation; a report holds some of them.
	VMs map[string]Counters `cbor:"5,keyasint"`
	// Kept are sessions of the trial's share that run on the old version.
	OldSessions []uint32 `cbor:"6,keyasint,omitempty"`
}

// rollOut is the state of one order.
type rollOut struct {
	order     RollOut
	began     time.Time // own clock, moved back when another VM saw the order earlier
	condemned bool
	vms       map[string]Counters
	kept      map[uint32]bool
	cursor    int // the VM whose counters were last told on
}

// Core decides for all services. It is not safe for concurrent use.
type Core struct {
	self     string
	exposure float64
	orders   map[string]*rollOut
	stable   map[string]map[string]bool
	sessions *sessions
}

// New returns a core without orders. The name is unique for each start of a
// VM; exposure is the share of requests that a bad version may get.
func New(self string, exposure float64, sessionTTL time.Duration) *Core {
	return &Core{
		self: self, exposure: exposure, orders: make(map[string]*rollOut),
		stable: make(map[string]map[string]bool), sessions: newSessions(sessionTTL),
	}
}

// SetOrder takes the newest state of an order.
func (c *Core) SetRollOut(now time.Time, o RollOut) {
	r := c.orders[o.Service]
	if r == nil || r.order.Target != o.Target {
		c.orders[o.Service] = &rollOut{order: o, began: now, vms: map[string]Counters{c.self: newCounters()}, kept: make(map[uint32]bool)}
		return
	}
	phase := max(r.order.Phase, o.Phase) // a report is never taken back
	r.order = o
	r.order.Phase = phase
}

// RemoveOrder forgets an order that the operators took out.
func (c *Core) RemoveRollOut(service string) {
	r := c.orders[service]
	if r == nil {
		return
	}
	if r.order.Phase == Completed {
		c.stable[service] = map[string]bool{r.order.Target: true}
	}
	delete(c.orders, service)
}

func newCounters() Counters {
	return Counters{New: make(map[string]Tally), Old: make(map[string]Tally)}
}

// Rule says which versions one request may run on.
type Rule struct {
	// First is the preferred set; Then is used when First has no upstream.
	Preferred func(version string) bool
	Fallback  func(version string) bool
	// Why is for the log.
	Reason string
}

// Choose returns the versions for a request of a service. The key is the
// session, or the request itself where it has none; versions are those with
// live upstreams.
func (c *Core) Choose(now time.Time, service, session, id string, versions []string) Rule {
	r := c.orders[service]
	if r == nil {
		return c.settled(service, versions)
	}
	target := r.order.Target
	isNew := func(v string) bool { return v == target }
	isOld := func(v string) bool { return v != target }
	switch {
	case r.order.Phase == Completed:
		return Rule{Preferred: isNew, Fallback: isOld, Reason: "completed"}
	case r.order.Phase == Reverted || r.condemned:
		return Rule{Preferred: isOld, Reason: "reverted"}
	}
	age := r.age(now)
	trial := age < trialEnd
	share := c.share(age)
	key, pinned := id, ""
	if session != "" {
		key = session
		pinned = c.sessions.version(now, service, session)
	}
	switch {
	case pinned == target:
		return Rule{Preferred: isNew, Fallback: isOld, Reason: "session on new"}
	case trial && (pinned != "" || r.kept[short(key)] || now.Sub(r.began) < quietTime):
		return Rule{Preferred: isOld, Reason: "session on old"}
	case fraction(target+key) < share:
		return Rule{Preferred: isNew, Fallback: isOld, Reason: "new"}
	}
	return Rule{Preferred: isOld, Fallback: thenNew(trial, isNew), Reason: "old"}
}

func thenNew(trial bool, isNew func(string) bool) func(string) bool {
	if trial {
		return nil
	}
	return isNew
}

// settled allows the versions that were there before others appeared: a new
// version may be listed before its order is.
func (c *Core) settled(service string, versions []string) Rule {
	known := c.stable[service]
	anyKnown := false
	for _, v := range versions {
		anyKnown = anyKnown || known[v]
	}
	if !anyKnown {
		known = make(map[string]bool, len(versions))
		for _, v := range versions {
			known[v] = true
		}
		c.stable[service] = known
	}
	return Rule{Preferred: func(v string) bool { return known[v] }, Reason: "settled"}
}

func (r *rollOut) age(now time.Time) float64 {
	if r.order.Duration <= 0 {
		return 1
	}
	return float64(now.Sub(r.began)) / float64(r.order.Duration)
}

// share of the sessions that are on the new version at an age.
func (c *Core) share(age float64) float64 {
	trial := c.exposure * trialUse
	if age < trialEnd {
		return trial
	}
	return min(trial+(1-trial)*(age-trialEnd)/(fullAt-trialEnd), 1)
}

// fraction maps a key to [0, 1), the same on every VM.
func fraction(key string) float64 {
	return float64(xxhash.Sum64String(key)>>11) / (1 << 53)
}

// Began notes that a request of a session runs on a version.
func (c *Core) AttemptStarted(now time.Time, service, session, version string) {
	if session != "" {
		c.sessions.note(now, service, session, version)
	}
	if r := c.orders[service]; r != nil && version != r.order.Target {
		own := r.vms[c.self]
		own.OldRunning++
		r.vms[c.self] = own
	}
}

// Outcome of an attempt.
type Outcome struct {
	Service string
	Version string
	Route   string
	// Judged is false when the attempt says nothing about the version.
	Conclusive bool
	Bad        bool
}

// Ended notes the end of an attempt that Began counted.
func (c *Core) AttemptEnded(o Outcome) {
	r := c.orders[o.Service]
	if r == nil {
		return
	}
	own := r.vms[c.self]
	side := own.New
	if o.Version != r.order.Target {
		own.OldRunning = max(own.OldRunning-1, 0)
		side = own.Old
	}
	if o.Conclusive {
		t := side[o.Route]
		t.Total++
		if o.Bad {
			t.Bad++
		}
		side[o.Route] = t
	}
	r.vms[c.self] = own
}

// Thresholds of the verdict.
const (
	// leastBad is the number of bad answers below which nothing is condemned.
	leastBad = 3
	// leastShare is the share of bad answers that condemns, beyond the old
	// version's own.
	leastShare = 0.12
	// badRatio is how many times worse than the old version is bad.
	badRatio = 3.0
)

// pooled adds up the counters of all VMs, by route and in total.
func (r *rollOut) pooled() (newSide, oldSide map[string]Tally, oldRunning int) {
	newSide, oldSide = make(map[string]Tally), make(map[string]Tally)
	for _, vm := range r.vms {
		addAll(newSide, vm.New)
		addAll(oldSide, vm.Old)
		oldRunning += vm.OldRunning
	}
	return newSide, oldSide, oldRunning
}

// allRoutes is the entry of a pooled tally that holds the sum over routes.
const allRoutes = ""

func addAll(sum, part map[string]Tally) {
	for route, t := range part {
		for _, k := range []string{route, allRoutes} {
			s := sum[k]
			s.Total += t.Total
			s.Bad += t.Bad
			sum[k] = s
		}
	}
}

// bad reports whether the new version is worse on a route than the old one.
func bad(newSide, oldSide Tally) bool {
	if newSide.Bad < leastBad {
		return false
	}
	// One more good answer on each side keeps small numbers from deciding.
	n := float64(newSide.Bad) / float64(newSide.Total+1)
	o := float64(oldSide.Bad) / float64(oldSide.Total+1)
	return n > math.Max(o+leastShare, math.Min(badRatio*o, (1+o)/2))
}

// Verdict is a change of phase that should be reported to operators.
type Verdict struct {
	RollOut RollOut
	Phase   Phase
	// New and Old are the pooled outcomes that decided.
	New Tally
	Old Tally
	Age float64
	// Route is where the new version is bad; empty for all routes.
	Route string
}

// Tick judges the orders in progress.
func (c *Core) Tick(now time.Time) []Verdict {
	var out []Verdict
	for _, r := range c.orders {
		if r.order.Phase != InProgress {
			continue
		}
		newSide, oldSide, running := r.pooled()
		v := Verdict{RollOut: r.order, New: newSide[allRoutes], Old: oldSide[allRoutes], Age: r.age(now)}
		for route := range newSide {
			if bad(newSide[route], oldSide[route]) {
				r.condemned = true
				v.Route = route
			}
		}
		switch {
		case r.condemned:
			v.Phase = Reverted
		case r.finished(now, running):
			v.Phase = Completed
		default:
			continue
		}
		out = append(out, v)
	}
	return out
}

func (r *rollOut) finished(now time.Time, oldRunning int) bool {
	age := r.age(now)
	settled := now.Sub(r.began) > time.Duration(fullAt*float64(r.order.Duration))+drainWait
	return settled && (oldRunning == 0 || age >= forceAt)
}

// Reports are what this VM knows of the orders in progress, for other VMs.
func (c *Core) Reports(now time.Time) []Report {
	var out []Report
	for _, r := range c.orders {
		if r.order.Phase != InProgress {
			continue
		}
		out = append(out, Report{
			Service: r.order.Service, Target: r.order.Target, AgeMS: now.Sub(r.began).Milliseconds(),
			Condemned: r.condemned, VMs: c.tell(r), OldSessions: c.keep(now, r),
		})
	}
	return out
}

// tell picks the own counters and, in turn, some of those heard of.
func (c *Core) tell(r *rollOut) map[string]Counters {
	names := slices.Sorted(maps.Keys(r.vms))
	out := map[string]Counters{c.self: r.vms[c.self].clone()}
	for range min(tellMost, len(names)) {
		r.cursor++
		name := names[r.cursor%len(names)]
		out[name] = r.vms[name].clone()
	}
	return out
}

// keep lists sessions that the trial would move but that run on the old version.
func (c *Core) keep(now time.Time, r *rollOut) []uint32 {
	if r.age(now) >= trialEnd {
		return nil
	}
	moved := func(session string) bool { return fraction(r.order.Target+session) < c.share(0) }
	for _, session := range c.sessions.on(now, r.order.Service, moved, func(v string) bool { return v != r.order.Target }) {
		r.kept[short(session)] = true
	}
	all := slices.Sorted(maps.Keys(r.kept))
	if len(all) <= keptMost {
		return all
	}
	out := make([]uint32, 0, keptMost)
	for i := range keptMost {
		out = append(out, all[(r.cursor+i)%len(all)])
	}
	return out
}

// short names a session in few bytes.
func short(session string) uint32 { return uint32(xxhash.Sum64String(session)) }

func (n Counters) clone() Counters {
	out := newCounters()
	out.OldRunning = n.OldRunning
	for k, v := range n.New {
		out.New[k] = v
	}
	for k, v := range n.Old {
		out.Old[k] = v
	}
	return out
}

// total orders two states of the same VM's counters: they only grow.
func (n Counters) total() uint64 {
	var sum uint64
	for _, side := range []map[string]Tally{n.New, n.Old} {
		for _, t := range side {
			sum += uint64(t.Total)
		}
	}
	return sum
}

// Merge takes another VM's report. It reports whether the version was
// condemned by it.
func (c *Core) Merge(now time.Time, p Report) bool {
	r := c.orders[p.Service]
	if r == nil || r.order.Target != p.Target {
		return false
	}
	if began := now.Add(-time.Duration(p.AgeMS) * time.Millisecond); began.Before(r.began) {
		r.began = began
	}
	for _, session := range p.OldSessions {
		r.kept[session] = true
	}
	for name, n := range p.VMs {
		if name == c.self {
			continue
		}
		if old, ok := r.vms[name]; !ok || n.total() >= old.total() {
			r.vms[name] = n
		}
	}
	news := p.Condemned && !r.condemned
	r.condemned = r.condemned || p.Condemned
	return news
}

// Forget drops the running counts of VMs that are no longer there.
func (c *Core) ClearDepartedVMs(live map[string]bool) {
	for _, r := range c.orders {
		for name, n := range r.vms {
			if name != c.self && !live[name] && n.OldRunning > 0 {
				n.OldRunning = 0
				r.vms[name] = n
			}
		}
	}
}
