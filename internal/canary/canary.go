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
type Order struct {
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
	rampEnd = 0.62
	// forceAt is when a good version is reported complete although requests
	// still run on the old one.
	forcedCompletionAt = 0.88
	// trialUse is the part of the allowed exposure that the trial uses.
	trialExposureShare = 0.55
	// quietTime at the start belongs to the old version: the VMs tell each other
	// which sessions of the trial's share they have on it.
	sessionExchangeWindow = 2500 * time.Millisecond
	// keptMost bounds the sessions that one report tells of.
	maxReportedSessions = 48
	// tellMost bounds the other VMs whose counters a report passes on.
	maxRelayedVMs = 6
	// drainWait is how long all sessions have to be on the new version before
	// it may be complete, so that all VMs have come that far.
	completionDelay = 1500 * time.Millisecond
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
	Kept []uint32 `cbor:"6,keyasint,omitempty"`
}

// rollOut is the state of one order.
type rollOutState struct {
	rollOut      Order
	startedAt    time.Time // own clock, moved back when another VM saw the order earlier
	condemned    bool
	countersByVM map[string]Counters
	oldSessions  map[uint32]bool
	cursor       int // the VM whose counters were last told on
}

// Core decides for all services. It is not safe for concurrent use.
type Core struct {
	vmName         string
	maxExposure    float64
	rollOuts       map[string]*rollOutState
	stableVersions map[string]map[string]bool
	sessions       *sessions
}

// New returns a core without orders. The name is unique for each start of a
// VM; exposure is the share of requests that a bad version may get.
func New(vmName string, maxExposure float64, sessionTTL time.Duration) *Core {
	return &Core{
		vmName: vmName, maxExposure: maxExposure, rollOuts: make(map[string]*rollOutState),
		stableVersions: make(map[string]map[string]bool), sessions: newSessions(sessionTTL),
	}
}

// SetOrder takes the newest state of an order.
func (c *Core) SetOrder(now time.Time, o Order) {
	r := c.rollOuts[o.Service]
	if r == nil || r.rollOut.Target != o.Target {
		c.rollOuts[o.Service] = &rollOutState{rollOut: o, startedAt: now, countersByVM: map[string]Counters{c.vmName: newCounters()}, oldSessions: make(map[uint32]bool)}
		return
	}
	phase := max(r.rollOut.Phase, o.Phase) // a report is never taken back
	r.rollOut = o
	r.rollOut.Phase = phase
}

// RemoveOrder forgets an order that the operators took out.
func (c *Core) RemoveOrder(service string) {
	r := c.rollOuts[service]
	if r == nil {
		return
	}
	if r.rollOut.Phase == Completed {
		c.stableVersions[service] = map[string]bool{r.rollOut.Target: true}
	}
	delete(c.rollOuts, service)
}

func newCounters() Counters {
	return Counters{New: make(map[string]Tally), Old: make(map[string]Tally)}
}

// Rule says which versions one request may run on.
type Rule struct {
	// First is the preferred set; Then is used when First has no upstream.
	First func(version string) bool
	Then  func(version string) bool
	// Why is for the log.
	Why string
}

// Choose returns the versions for a request of a service. The key is the
// session, or the request itself where it has none; versions are those with
// live upstreams.
func (c *Core) Choose(now time.Time, service, session, id string, versions []string) Rule {
	r := c.rollOuts[service]
	if r == nil {
		return c.stableRule(service, versions)
	}
	target := r.rollOut.Target
	isNew := func(v string) bool { return v == target }
	isOld := func(v string) bool { return v != target }
	switch {
	case r.rollOut.Phase == Completed:
		return Rule{First: isNew, Then: isOld, Why: "completed"}
	case r.rollOut.Phase == Reverted || r.condemned:
		return Rule{First: isOld, Why: "reverted"}
	}
	age := r.age(now)
	trial := age < trialEnd
	share := c.newVersionShare(age)
	key, pinned := id, ""
	if session != "" {
		key = session
		pinned = c.sessions.version(now, service, session)
	}
	switch {
	case pinned == target:
		return Rule{First: isNew, Then: isOld, Why: "session on new"}
	case trial && (pinned != "" || r.oldSessions[sessionHash(key)] || now.Sub(r.startedAt) < sessionExchangeWindow):
		return Rule{First: isOld, Why: "session on old"}
	case hashFraction(target+key) < share:
		return Rule{First: isNew, Then: isOld, Why: "new"}
	}
	return Rule{First: isOld, Then: newAfterTrial(trial, isNew), Why: "old"}
}

func newAfterTrial(trial bool, isNew func(string) bool) func(string) bool {
	if trial {
		return nil
	}
	return isNew
}

// settled allows the versions that were there before others appeared: a new
// version may be listed before its order is.
func (c *Core) stableRule(service string, versions []string) Rule {
	stable := c.stableVersions[service]
	anyListed := false
	for _, v := range versions {
		anyListed = anyListed || stable[v]
	}
	if !anyListed {
		stable = make(map[string]bool, len(versions))
		for _, v := range versions {
			stable[v] = true
		}
		c.stableVersions[service] = stable
	}
	return Rule{First: func(v string) bool { return stable[v] }, Why: "settled"}
}

func (r *rollOutState) age(now time.Time) float64 {
	if r.rollOut.Duration <= 0 {
		return 1
	}
	return float64(now.Sub(r.startedAt)) / float64(r.rollOut.Duration)
}

// share of the sessions that are on the new version at an age.
func (c *Core) newVersionShare(age float64) float64 {
	trial := c.maxExposure * trialExposureShare
	if age < trialEnd {
		return trial
	}
	return min(trial+(1-trial)*(age-trialEnd)/(rampEnd-trialEnd), 1)
}

// fraction maps a key to [0, 1), the same on every VM.
func hashFraction(key string) float64 {
	return float64(xxhash.Sum64String(key)>>11) / (1 << 53)
}

// Began notes that a request of a session runs on a version.
func (c *Core) Began(now time.Time, service, session, version string) {
	if session != "" {
		c.sessions.record(now, service, session, version)
	}
	if r := c.rollOuts[service]; r != nil && version != r.rollOut.Target {
		own := r.countersByVM[c.vmName]
		own.OldRunning++
		r.countersByVM[c.vmName] = own
	}
}

// Outcome of an attempt.
type Outcome struct {
	Service string
	Version string
	Route   string
	// Judged is false when the attempt says nothing about the version.
	Judged bool
	Bad    bool
}

// Ended notes the end of an attempt that Began counted.
func (c *Core) Ended(o Outcome) {
	r := c.rollOuts[o.Service]
	if r == nil {
		return
	}
	own := r.countersByVM[c.vmName]
	tallies := own.New
	if o.Version != r.rollOut.Target {
		own.OldRunning = max(own.OldRunning-1, 0)
		tallies = own.Old
	}
	if o.Judged {
		t := tallies[o.Route]
		t.Total++
		if o.Bad {
			t.Bad++
		}
		tallies[o.Route] = t
	}
	r.countersByVM[c.vmName] = own
}

// Thresholds of the verdict.
const (
	// leastBad is the number of bad answers below which nothing is condemned.
	minBadOutcomes = 3
	// leastShare is the share of bad answers that condemns, beyond the old
	// version's own.
	minBadShareIncrease = 0.12
	// badRatio is how many times worse than the old version is bad.
	badShareRatio = 3.0
)

// pooled adds up the counters of all VMs, by route and in total.
func (r *rollOutState) pooledTallies() (newTallies, oldTallies map[string]Tally, oldRunning int) {
	newTallies, oldTallies = make(map[string]Tally), make(map[string]Tally)
	for _, vm := range r.countersByVM {
		addTallies(newTallies, vm.New)
		addTallies(oldTallies, vm.Old)
		oldRunning += vm.OldRunning
	}
	return newTallies, oldTallies, oldRunning
}

// allRoutes is the entry of a pooled tally that holds the sum over routes.
const allRoutes = ""

func addTallies(sum, part map[string]Tally) {
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
func isWorse(newTally, oldTally Tally) bool {
	if newTally.Bad < minBadOutcomes {
		return false
	}
	// One more good answer on each side keeps small numbers from deciding.
	newShare := float64(newTally.Bad) / float64(newTally.Total+1)
	oldShare := float64(oldTally.Bad) / float64(oldTally.Total+1)
	return newShare > math.Max(oldShare+minBadShareIncrease, math.Min(badShareRatio*oldShare, (1+oldShare)/2))
}

// Verdict is a change of phase that should be reported to operators.
type Verdict struct {
	Order Order
	Phase Phase
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
	for _, r := range c.rollOuts {
		if r.rollOut.Phase != InProgress {
			continue
		}
		newTallies, oldTallies, running := r.pooledTallies()
		v := Verdict{Order: r.rollOut, New: newTallies[allRoutes], Old: oldTallies[allRoutes], Age: r.age(now)}
		for route := range newTallies {
			if isWorse(newTallies[route], oldTallies[route]) {
				r.condemned = true
				v.Route = route
			}
		}
		switch {
		case r.condemned:
			v.Phase = Reverted
		case r.canComplete(now, running):
			v.Phase = Completed
		default:
			continue
		}
		out = append(out, v)
	}
	return out
}

func (r *rollOutState) canComplete(now time.Time, oldRunning int) bool {
	age := r.age(now)
	rampDone := now.Sub(r.startedAt) > time.Duration(rampEnd*float64(r.rollOut.Duration))+completionDelay
	return rampDone && (oldRunning == 0 || age >= forcedCompletionAt)
}

// Reports are what this VM knows of the orders in progress, for other VMs.
func (c *Core) Reports(now time.Time) []Report {
	var out []Report
	for _, r := range c.rollOuts {
		if r.rollOut.Phase != InProgress {
			continue
		}
		out = append(out, Report{
			Service: r.rollOut.Service, Target: r.rollOut.Target, AgeMS: now.Sub(r.startedAt).Milliseconds(),
			Condemned: r.condemned, VMs: c.reportedCounters(r), Kept: c.reportedOldSessions(now, r),
		})
	}
	return out
}

// tell picks the own counters and, in turn, some of those heard of.
func (c *Core) reportedCounters(r *rollOutState) map[string]Counters {
	names := slices.Sorted(maps.Keys(r.countersByVM))
	out := map[string]Counters{c.vmName: r.countersByVM[c.vmName].clone()}
	for range min(maxRelayedVMs, len(names)) {
		r.cursor++
		name := names[r.cursor%len(names)]
		out[name] = r.countersByVM[name].clone()
	}
	return out
}

// keep lists sessions that the trial would move but that run on the old version.
func (c *Core) reportedOldSessions(now time.Time, r *rollOutState) []uint32 {
	if r.age(now) >= trialEnd {
		return nil
	}
	inTrial := func(session string) bool { return hashFraction(r.rollOut.Target+session) < c.newVersionShare(0) }
	for _, session := range c.sessions.matching(now, r.rollOut.Service, inTrial, func(v string) bool { return v != r.rollOut.Target }) {
		r.oldSessions[sessionHash(session)] = true
	}
	hashes := slices.Sorted(maps.Keys(r.oldSessions))
	if len(hashes) <= maxReportedSessions {
		return hashes
	}
	out := make([]uint32, 0, maxReportedSessions)
	for i := range maxReportedSessions {
		out = append(out, hashes[(r.cursor+i)%len(hashes)])
	}
	return out
}

// short names a session in few bytes.
func sessionHash(session string) uint32 { return uint32(xxhash.Sum64String(session)) }

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
	for _, tallies := range []map[string]Tally{n.New, n.Old} {
		for _, t := range tallies {
			sum += uint64(t.Total)
		}
	}
	return sum
}

// Merge takes another VM's report. It reports whether the version was
// condemned by it.
func (c *Core) Merge(now time.Time, p Report) bool {
	r := c.rollOuts[p.Service]
	if r == nil || r.rollOut.Target != p.Target {
		return false
	}
	if startedAt := now.Add(-time.Duration(p.AgeMS) * time.Millisecond); startedAt.Before(r.startedAt) {
		r.startedAt = startedAt
	}
	for _, session := range p.Kept {
		r.oldSessions[session] = true
	}
	for name, counters := range p.VMs {
		if name == c.vmName {
			continue
		}
		if old, ok := r.countersByVM[name]; !ok || counters.total() >= old.total() {
			r.countersByVM[name] = counters
		}
	}
	newlyCondemned := p.Condemned && !r.condemned
	r.condemned = r.condemned || p.Condemned
	return newlyCondemned
}

// Forget drops the running counts of VMs that are no longer there.
func (c *Core) Forget(live map[string]bool) {
	for _, r := range c.rollOuts {
		for name, counters := range r.countersByVM {
			if name != c.vmName && !live[name] && counters.OldRunning > 0 {
				counters.OldRunning = 0
				r.countersByVM[name] = counters
			}
		}
	}
}
