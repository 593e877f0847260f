// Package canary moves a service's requests to a new version: first a small share
// of the sessions, then the rest if the pooled outcomes of all VMs are good, or
// none any more if they are bad. The core is pure: callers pass in the time and
// the reports of other VMs.
package canary

import (
	"maps"
	"math"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Phase is the state of a roll-out as reported to operators.
type Phase int

// The phases of a roll-out.
const (
	InProgress Phase = iota
	Completed
	Reverted
)

var phaseNames = [...]string{"in_progress", "completed", "reverted"}

// String returns the phase's name for logs.
func (p Phase) String() string { return phaseNames[p] }

// RollOut is an operator's instruction to move a service to a version.
type RollOut struct {
	Service    string
	NewVersion string
	Duration   time.Duration
	// Phase is the phase that was last reported for the roll-out.
	Phase Phase
}

// Schedule and limits of a roll-out. trialEnd, rampEnd and forcedCompletionAge are
// shares of its duration.
const (
	// trialEnd is the end of the trial. Until then, sessions on the old version stay
	// there.
	trialEnd = 0.52
	// rampEnd is when all sessions use the new version.
	rampEnd = 0.62
	// forcedCompletionAge is when a good version is reported as completed even if
	// requests still run on the old version.
	forcedCompletionAge = 0.88
	// trialExposureShare is the part of the allowed exposure that the trial uses.
	trialExposureShare = 0.55
	// sessionExchangeWindow is the time after the start in which all sessions use
	// the old version, while the VMs exchange which sessions of the trial's share
	// they already have on it.
	sessionExchangeWindow = 2500 * time.Millisecond
	// maxReportedSessions is the maximum number of sessions in one report.
	maxReportedSessions = 48
	// maxRelayedVMs is the maximum number of other VMs whose counters one report
	// includes.
	maxRelayedVMs = 6
	// completionDelay is how long after the ramp a roll-out may be completed at the
	// earliest, so that all VMs have finished the ramp.
	completionDelay = 1500 * time.Millisecond
)

// Tally counts outcomes of attempts on one version of a route.
type Tally struct {
	Total uint32 `cbor:"1,keyasint"`
	// Bad counts failures and responses that were much later than expected.
	Bad uint32 `cbor:"2,keyasint"`
}

// Counters are one VM's outcomes by route, on the new version and on the others.
type Counters struct {
	New map[string]Tally `cbor:"1,keyasint"`
	Old map[string]Tally `cbor:"2,keyasint"`
	// OldRunning is the number of requests in flight on the other versions.
	OldRunning int `cbor:"3,keyasint"`
}

// Report is a VM's state of a roll-out, sent to the other VMs.
type Report struct {
	Service    string `cbor:"1,keyasint"`
	NewVersion string `cbor:"2,keyasint"`
	// AgeMS is the time since any VM first saw the roll-out.
	AgeMS int64 `cbor:"3,keyasint"`
	// JudgedBad is true once any VM has judged the version as bad; it is never reset.
	JudgedBad bool `cbor:"4,keyasint"`
	// CountersByIncarnation holds counters by VM incarnation; a report includes only
	// some VMs.
	CountersByIncarnation map[string]Counters `cbor:"5,keyasint"`
	// OldSessions holds the hashes of sessions that belong to the trial's share but
	// use the old version.
	OldSessions []uint32 `cbor:"6,keyasint,omitempty"`
}

// rollOutState is the state of one roll-out.
type rollOutState struct {
	rollOut               RollOut
	startedAt             time.Time // when any VM first saw the roll-out, on this VM's clock
	judgedBad             bool
	countersByIncarnation map[string]Counters
	oldSessions           map[uint32]bool
	cursor                int // index of the incarnation whose counters were reported last
}

// Core decides for all services which versions their requests use. It is not safe
// for concurrent use.
type Core struct {
	incarnation    string
	maxExposure    float64
	rollOuts       map[string]*rollOutState
	stableVersions map[string]map[string]bool
	sessions       *sessions
}

// New returns a core without roll-outs. incarnation must be unique for each start of
// a VM; maxExposure is the largest share of requests that a bad version may receive.
func New(incarnation string, maxExposure float64, sessionTTL time.Duration) *Core {
	return &Core{
		incarnation: incarnation, maxExposure: maxExposure, rollOuts: make(map[string]*rollOutState),
		stableVersions: make(map[string]map[string]bool), sessions: newSessions(sessionTTL),
	}
}

// SetRollOut applies the newest state of a roll-out.
func (c *Core) SetRollOut(now time.Time, o RollOut) {
	r := c.rollOuts[o.Service]
	if r == nil || r.rollOut.NewVersion != o.NewVersion {
		c.rollOuts[o.Service] = &rollOutState{rollOut: o, startedAt: now, countersByIncarnation: map[string]Counters{c.incarnation: newCounters()}, oldSessions: make(map[uint32]bool)}
		return
	}
	phase := max(r.rollOut.Phase, o.Phase) // a reported phase is final
	r.rollOut = o
	r.rollOut.Phase = phase
}

// RemoveRollOut removes a roll-out that operators have deleted.
func (c *Core) RemoveRollOut(service string) {
	r := c.rollOuts[service]
	if r == nil {
		return
	}
	if r.rollOut.Phase == Completed {
		c.stableVersions[service] = map[string]bool{r.rollOut.NewVersion: true}
	}
	delete(c.rollOuts, service)
}

func newCounters() Counters {
	return Counters{New: make(map[string]Tally), Old: make(map[string]Tally)}
}

// Rule defines which versions one request may use.
type Rule struct {
	// Preferred selects the preferred versions; Fallback applies if none of them has
	// an upstream.
	Preferred func(version string) bool
	Fallback  func(version string) bool
	// Reason explains the choice in the log.
	Reason string
}

// Choose returns the versions that a request of a service may use. The session
// determines the version; requests without a session use their ID instead.
// versions are the versions that have live upstreams.
func (c *Core) Choose(now time.Time, service, session, id string, versions []string) Rule {
	r := c.rollOuts[service]
	if r == nil {
		return c.stableRule(service, versions)
	}
	target := r.rollOut.NewVersion
	isNew := func(v string) bool { return v == target }
	isOld := func(v string) bool { return v != target }
	switch {
	case r.rollOut.Phase == Completed:
		return Rule{Preferred: isNew, Fallback: isOld, Reason: "completed"}
	case r.rollOut.Phase == Reverted || r.judgedBad:
		return Rule{Preferred: isOld, Reason: "reverted"}
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
		return Rule{Preferred: isNew, Fallback: isOld, Reason: "session on new"}
	// In the trial, sessions on the old version stay there. Until the VMs have had
	// time to exchange these sessions, all other requests use it as well.
	case trial && (pinned != "" || r.oldSessions[sessionHash(key)] || now.Sub(r.startedAt) < sessionExchangeWindow):
		return Rule{Preferred: isOld, Reason: "session on old"}
	case hashFraction(target+key) < share:
		return Rule{Preferred: isNew, Fallback: isOld, Reason: "new"}
	}
	return Rule{Preferred: isOld, Fallback: newAfterTrial(trial, isNew), Reason: "old"}
}

func newAfterTrial(trial bool, isNew func(string) bool) func(string) bool {
	if trial {
		return nil
	}
	return isNew
}

// stableRule allows only the versions that were listed first, because a new version
// may be listed before its roll-out is. If none of them is listed any more, the
// versions that are listed now replace them.
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
	return Rule{Preferred: func(v string) bool { return stable[v] }, Reason: "settled"}
}

func (r *rollOutState) age(now time.Time) float64 {
	if r.rollOut.Duration <= 0 {
		return 1
	}
	return float64(now.Sub(r.startedAt)) / float64(r.rollOut.Duration)
}

// newVersionShare returns the share of the sessions that use the new version at an
// age, which is a share of the roll-out's duration.
func (c *Core) newVersionShare(age float64) float64 {
	trial := c.maxExposure * trialExposureShare
	if age < trialEnd {
		return trial
	}
	return min(trial+(1-trial)*(age-trialEnd)/(rampEnd-trialEnd), 1)
}

// hashFraction maps a key to [0, 1), with the same result on every VM.
func hashFraction(key string) float64 {
	return float64(xxhash.Sum64String(key)>>11) / (1 << 53)
}

// AttemptStarted records that an attempt of a request starts on a version.
func (c *Core) AttemptStarted(now time.Time, service, session, version string) {
	if session != "" {
		c.sessions.record(now, service, session, version)
	}
	if r := c.rollOuts[service]; r != nil && version != r.rollOut.NewVersion {
		own := r.countersByIncarnation[c.incarnation]
		own.OldRunning++
		r.countersByIncarnation[c.incarnation] = own
	}
}

// Outcome is the outcome of an attempt.
type Outcome struct {
	Service string
	Version string
	Route   string
	// Conclusive is false if the attempt says nothing about the version.
	Conclusive bool
	Bad        bool
}

// AttemptEnded records the end of an attempt that AttemptStarted recorded.
func (c *Core) AttemptEnded(o Outcome) {
	r := c.rollOuts[o.Service]
	if r == nil {
		return
	}
	own := r.countersByIncarnation[c.incarnation]
	tallies := own.New
	if o.Version != r.rollOut.NewVersion {
		own.OldRunning = max(own.OldRunning-1, 0)
		tallies = own.Old
	}
	if o.Conclusive {
		t := tallies[o.Route]
		t.Total++
		if o.Bad {
			t.Bad++
		}
		tallies[o.Route] = t
	}
	r.countersByIncarnation[c.incarnation] = own
}

// Thresholds for judging a version as bad.
const (
	// minBadOutcomes is the number of bad outcomes on the new version below which it
	// is never judged as bad.
	minBadOutcomes = 3
	// minBadShareIncrease is how much the new version's share of bad outcomes must
	// exceed the old version's.
	minBadShareIncrease = 0.12
	// minBadShareRatio: the new version's share of bad outcomes must be more than this
	// multiple of the old version's, or more than halfway between the old version's
	// and 1 if that is less.
	minBadShareRatio = 3.0
)

// pooledTallies sums the counters of all VMs, by route and in total.
func (r *rollOutState) pooledTallies() (newTallies, oldTallies map[string]Tally, oldRunning int) {
	newTallies, oldTallies = make(map[string]Tally), make(map[string]Tally)
	for _, vm := range r.countersByIncarnation {
		addTallies(newTallies, vm.New)
		addTallies(oldTallies, vm.Old)
		oldRunning += vm.OldRunning
	}
	return newTallies, oldTallies, oldRunning
}

// allRoutes is the key of the sum over all routes in pooled tallies.
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

// isWorse reports whether the new version is worse on a route than the old one.
func isWorse(newTally, oldTally Tally) bool {
	if newTally.Bad < minBadOutcomes {
		return false
	}
	// One more good outcome on each side keeps small samples from being decisive.
	newShare := float64(newTally.Bad) / float64(newTally.Total+1)
	oldShare := float64(oldTally.Bad) / float64(oldTally.Total+1)
	return newShare > math.Max(oldShare+minBadShareIncrease, math.Min(minBadShareRatio*oldShare, (1+oldShare)/2))
}

// Verdict is a change of phase that should be reported to operators.
type Verdict struct {
	RollOut RollOut
	Phase   Phase
	// New and Old are the pooled tallies over all routes.
	New      Tally
	Old      Tally
	Progress float64
	// Route is the route on which the new version is worse; empty for all routes.
	Route string
}

// Tick returns the verdicts on the roll-outs in progress.
func (c *Core) Tick(now time.Time) []Verdict {
	var out []Verdict
	for _, r := range c.rollOuts {
		if r.rollOut.Phase != InProgress {
			continue
		}
		newTallies, oldTallies, running := r.pooledTallies()
		v := Verdict{RollOut: r.rollOut, New: newTallies[allRoutes], Old: oldTallies[allRoutes], Progress: r.age(now)}
		for route := range newTallies {
			if isWorse(newTallies[route], oldTallies[route]) {
				r.judgedBad = true
				v.Route = route
			}
		}
		switch {
		case r.judgedBad:
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
	return rampDone && (oldRunning == 0 || age >= forcedCompletionAge)
}

// Reports returns this VM's state of the roll-outs in progress, for other VMs.
func (c *Core) Reports(now time.Time) []Report {
	var out []Report
	for _, r := range c.rollOuts {
		if r.rollOut.Phase != InProgress {
			continue
		}
		out = append(out, Report{
			Service: r.rollOut.Service, NewVersion: r.rollOut.NewVersion, AgeMS: now.Sub(r.startedAt).Milliseconds(),
			JudgedBad: r.judgedBad, CountersByIncarnation: c.reportedCounters(r), OldSessions: c.reportedOldSessions(now, r),
		})
	}
	return out
}

// reportedCounters returns this VM's own counters and those of some other VMs,
// which rotate from report to report.
func (c *Core) reportedCounters(r *rollOutState) map[string]Counters {
	names := slices.Sorted(maps.Keys(r.countersByIncarnation))
	out := map[string]Counters{c.incarnation: r.countersByIncarnation[c.incarnation].clone()}
	for range min(maxRelayedVMs, len(names)) {
		r.cursor++
		name := names[r.cursor%len(names)]
		out[name] = r.countersByIncarnation[name].clone()
	}
	return out
}

// reportedOldSessions returns the hashes of sessions that belong to the trial's
// share but use the old version.
func (c *Core) reportedOldSessions(now time.Time, r *rollOutState) []uint32 {
	if r.age(now) >= trialEnd {
		return nil
	}
	inTrial := func(session string) bool { return hashFraction(r.rollOut.NewVersion+session) < c.newVersionShare(0) }
	for _, session := range c.sessions.matching(now, r.rollOut.Service, inTrial, func(v string) bool { return v != r.rollOut.NewVersion }) {
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

// sessionHash returns a short hash that stands for a session in reports.
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

// total returns the number of outcomes, which never decreases. Merge keeps the state
// with the higher total; with equal totals, the state that arrives later.
func (n Counters) total() uint64 {
	var sum uint64
	for _, tallies := range []map[string]Tally{n.New, n.Old} {
		for _, t := range tallies {
			sum += uint64(t.Total)
		}
	}
	return sum
}

// Merge applies another VM's report. It returns true if the report judges a version
// as bad that this VM had not judged as bad before.
func (c *Core) Merge(now time.Time, report Report) bool {
	r := c.rollOuts[report.Service]
	if r == nil || r.rollOut.NewVersion != report.NewVersion {
		return false
	}
	if startedAt := now.Add(-time.Duration(report.AgeMS) * time.Millisecond); startedAt.Before(r.startedAt) {
		r.startedAt = startedAt
	}
	for _, session := range report.OldSessions {
		r.oldSessions[session] = true
	}
	for name, counters := range report.CountersByIncarnation {
		if name == c.incarnation {
			continue
		}
		if old, ok := r.countersByIncarnation[name]; !ok || counters.total() >= old.total() {
			r.countersByIncarnation[name] = counters
		}
	}
	newlyJudgedBad := report.JudgedBad && !r.judgedBad
	r.judgedBad = r.judgedBad || report.JudgedBad
	return newlyJudgedBad
}

// ClearDepartedVMs clears the running counts of VMs that are no longer live.
func (c *Core) ClearDepartedVMs(live map[string]bool) {
	for _, r := range c.rollOuts {
		for name, counters := range r.countersByIncarnation {
			if name != c.incarnation && !live[name] && counters.OldRunning > 0 {
				counters.OldRunning = 0
				r.countersByIncarnation[name] = counters
			}
		}
	}
}
