// Package canary moves a service's requests to a new version: first a small share
// of the sessions; then all of them if the outcomes pooled over all VMs are good,
// or no session if they are bad. The core is pure: callers pass in the time and
// the reports of other VMs.
package canary

import (
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

const (
	// trialExposureShare is the share of Exposure.Share that the trial uses.
	trialExposureShare = 0.45
	// sessionExchangeWindow is the time after the start in which all sessions use
	// the old version. Meanwhile the VMs report to each other which of the sessions
	// that the trial would move already use the old version.
	sessionExchangeWindow = 2500 * time.Millisecond
)

// Tally counts outcomes of attempts on one version of a route.
type Tally struct {
	Total uint32 `cbor:"1,keyasint"`
	// Bad counts failures and responses that were much later than expected.
	Bad uint32 `cbor:"2,keyasint"`
}

// Counters are one VM's outcomes by route, and slow attempts by work, on the new
// version and on the others.
type Counters struct {
	New map[string]Tally `cbor:"1,keyasint"`
	Old map[string]Tally `cbor:"2,keyasint"`
	// OldRunning is the number of requests in flight on the other versions.
	OldRunning int `cbor:"3,keyasint"`
	// NewLoad and OldLoad are the loads of the upstreams.
	NewLoad Load `cbor:"4,keyasint"`
	OldLoad Load `cbor:"5,keyasint"`
	// Attempts is the number of attempts that have begun, and NewAttempts of those on
	// the new version.
	Attempts    uint32 `cbor:"6,keyasint"`
	NewAttempts uint32 `cbor:"7,keyasint"`
}

// rollOutState is the state of one roll-out.
type rollOutState struct {
	// rollOut.Phase is the latest phase that was reported. It never goes back.
	rollOut RollOut
	// storedPhase is the phase in the store. It goes back when the store comes back
	// from an older copy; the verdict is then due again.
	storedPhase           Phase
	startedAt             time.Time // when any VM first saw the roll-out, on this VM's clock
	rampStart             float64   // a share of the duration; see planRamp
	judgedBad             bool
	revertedAt            time.Time // when the phase became Reverted, if it is
	decisiveSince         time.Time // when the new version had decisiveBad bad outcomes too many
	hold                  *Hold     // nil until it is held
	holdReported          bool
	countersByIncarnation map[string]Counters
	oldBuckets            bucketSet
	cursor                int // index of the incarnation whose counters were reported last
}

// Core decides for all services which versions their requests use. It is not safe
// for concurrent use.
type Core struct {
	incarnation    string
	exposure       Exposure
	rollOuts       map[string]*rollOutState
	stableVersions map[string]map[string]bool
	sessions       *sessions
	references     map[string]*reference // by service and work
	// replacedTargets holds, by service, the targets of earlier roll-outs.
	replacedTargets map[string]map[string]bool
	// abandoned holds, by service, the targets of earlier roll-outs that were not
	// completed. Their upstreams may go on for some time.
	abandoned map[string]map[string]bool
	// unlisted is true while the roll-outs that exist are not known: a version may be the
	// target of one of them.
	unlisted bool
	// restoredUntil is the end of the time after StoreRestored in which roll-outs to
	// replaced targets are ignored.
	restoredUntil time.Time
}

// rewriteTimeout is how long after the store came back from an older copy a
// roll-out that had been replaced is ignored. Operators write the latest one again
// in this time.
const rewriteTimeout = 10 * time.Second

// New returns a core without roll-outs. incarnation must be unique for each start of
// a VM.
func New(incarnation string, exposure Exposure, sessionTTL time.Duration) *Core {
	return &Core{
		incarnation: incarnation, exposure: exposure, rollOuts: make(map[string]*rollOutState),
		stableVersions: make(map[string]map[string]bool), sessions: newSessions(sessionTTL),
		references:      make(map[string]*reference),
		replacedTargets: make(map[string]map[string]bool),
		abandoned:       make(map[string]map[string]bool),
	}
}

// AwaitRollOuts records that the roll-outs that exist are not known yet, and RollOutsListed
// that they are.
func (c *Core) AwaitRollOuts() { c.unlisted = true }

// RollOutsListed ends AwaitRollOuts.
func (c *Core) RollOutsListed() { c.unlisted = false }

// StoreRestored records that the store came back from an older copy.
func (c *Core) StoreRestored(now time.Time) { c.restoredUntil = now.Add(rewriteTimeout) }

// SetRollOut applies the newest state of a roll-out. It returns false if it ignored
// the state, because the store came back from an older copy that still has a
// roll-out which was replaced since.
func (c *Core) SetRollOut(now time.Time, o RollOut) bool {
	r := c.rollOuts[o.Service]
	if r == nil || r.rollOut.NewVersion != o.NewVersion {
		if now.Before(c.restoredUntil) && c.replacedTargets[o.Service][o.NewVersion] {
			return false
		}
		c.recordReplaced(r)
		delete(c.abandoned[o.Service], o.NewVersion) // operators try it again
		c.rollOuts[o.Service] = &rollOutState{rollOut: o, storedPhase: o.Phase, startedAt: now, revertedAt: now, rampStart: trialEnd, countersByIncarnation: map[string]Counters{c.incarnation: newCounters()}}
		return true
	}
	if r.rollOut.Phase != Reverted {
		r.revertedAt = now
	}
	phase := max(r.rollOut.Phase, o.Phase) // a reported phase is final
	r.rollOut = o
	r.rollOut.Phase = phase
	r.storedPhase = o.Phase
	return true
}

// recordReplaced remembers the target of a roll-out that another one replaces or
// that is removed; nil is ignored.
func (c *Core) recordReplaced(r *rollOutState) {
	if r == nil {
		return
	}
	addTarget(c.replacedTargets, r.rollOut)
	if r.rollOut.Phase != Completed {
		addTarget(c.abandoned, r.rollOut)
	}
}

func addTarget(targets map[string]map[string]bool, o RollOut) {
	if targets[o.Service] == nil {
		targets[o.Service] = make(map[string]bool)
	}
	targets[o.Service][o.NewVersion] = true
}

// accepted returns a function that reports whether a version may be used as an old one: it
// is not the target, and no abandoned one. If no other is listed, abandoned ones are used
// nevertheless: this VM may have missed the end of their roll-out.
func (c *Core) accepted(service, target string, versions []string) func(version string) bool {
	abandoned := c.abandoned[service]
	isOld := func(v string) bool { return v != target }
	isUsual := func(v string) bool { return v != target && !abandoned[v] }
	if len(abandoned) > 0 && slices.ContainsFunc(versions, isUsual) {
		return isUsual
	}
	return isOld
}

// RemoveRollOut removes a roll-out that operators have deleted.
func (c *Core) RemoveRollOut(service string) {
	r := c.rollOuts[service]
	if r == nil {
		return
	}
	c.recordReplaced(r)
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
	// PreferredShare is the share of the upstreams of the preferred versions to use; zero
	// for all. It keeps the load of each at that of an upstream of another version.
	PreferredShare float64
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
	isOld := c.accepted(service, target, versions)
	switch {
	case r.rollOut.Phase == Completed:
		return Rule{Preferred: isNew, Fallback: isOld, Reason: "completed"}
	case r.rollOut.Phase == Reverted || r.judgedBad:
		return Rule{Preferred: isOld, Reason: "reverted"}
	}
	progress := r.progress(now)
	trial := progress < trialEnd
	share := c.newVersionShare(r, progress)
	key, pinned := id, ""
	if session != "" {
		key = session
		pinned = c.sessions.version(now, service, session)
	}
	switch {
	case pinned == target:
		return Rule{Preferred: isNew, Fallback: isOld, PreferredShare: share, Reason: "session on new"}
	// In the trial, sessions on the old version stay there. Until the VMs have had
	// time to exchange these sessions, all other requests use it as well.
	case trial && (pinned != "" || r.oldBuckets.has(key) || now.Sub(r.startedAt) < sessionExchangeWindow):
		return Rule{Preferred: isOld, Reason: "session on old"}
	case hashFraction(target+key) < share:
		return Rule{Preferred: isNew, Fallback: isOld, PreferredShare: share, Reason: "new"}
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
// versions that are listed now replace them, without abandoned ones.
func (c *Core) stableRule(service string, versions []string) Rule {
	stable := c.stableVersions[service]
	anyListed := false
	for _, v := range versions {
		anyListed = anyListed || stable[v]
	}
	if !anyListed {
		stable = make(map[string]bool, len(versions))
		accepted := c.accepted(service, "", versions)
		for _, v := range versions {
			if accepted(v) {
				stable[v] = true
			}
		}
		if !c.unlisted {
			c.stableVersions[service] = stable
		}
	}
	return Rule{Preferred: func(v string) bool { return stable[v] }, Reason: "settled"}
}

// progress returns the time since the start as a share of the roll-out's duration.
func (r *rollOutState) progress(now time.Time) float64 {
	if r.rollOut.Duration <= 0 {
		return 1
	}
	return float64(now.Sub(r.startedAt)) / float64(r.rollOut.Duration)
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
	r := c.rollOuts[service]
	if r == nil {
		return
	}
	own := r.countersByIncarnation[c.incarnation]
	own.Attempts++
	if version == r.rollOut.NewVersion {
		own.NewAttempts++
	} else {
		own.OldRunning++
	}
	r.countersByIncarnation[c.incarnation] = own
}

// Outcome is the outcome of an attempt.
type Outcome struct {
	Service string
	Version string
	Route   string
	// Conclusive is false if the attempt says nothing about the version.
	Conclusive bool
	Bad        bool
	// Running is the number of requests that the upstream was running, or
	// UnknownRunning.
	Running int
}

// AttemptEnded records the end of an attempt that AttemptStarted recorded.
func (c *Core) AttemptEnded(o Outcome) {
	r := c.rollOuts[o.Service]
	if r == nil {
		return
	}
	own := r.countersByIncarnation[c.incarnation]
	isNew := o.Version == r.rollOut.NewVersion
	if isNew {
		own.NewLoad.add(o.Running)
	} else {
		own.OldRunning = max(own.OldRunning-1, 0)
		own.OldLoad.add(o.Running)
	}
	if o.Conclusive {
		own.add(isNew, o.Route, o.Bad)
		own.addAtLoad(isNew, o.Running, o.Bad)
	}
	r.countersByIncarnation[c.incarnation] = own
}
