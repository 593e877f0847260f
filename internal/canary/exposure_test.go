package canary

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

// Guards against a version that is bad only at a load which no trial reaches, and that
// receives everything long before the deadline because nobody found it bad.
func TestVersionBadUnderLoadExceedsItsExposure(t *testing.T) {
	for seed := range uint64(60) {
		rng := rand.New(rand.NewPCG(seed, 30))
		s := newLoadedSite(rng, time.Duration(10+rng.IntN(16))*time.Second, 1+rng.IntN(8))
		s.run(30, 0.95)
		assert.LessOrEqual(t, float64(s.exposed), exposure*float64(s.all)+exposureTolerance, "seed %d", seed)
		assert.Equal(t, Completed, s.verdict, "seed %d", seed)
		assert.Less(t, s.verdictAt, s.duration-300*time.Millisecond, "seed %d", seed)
	}
}

// Guards against a version that fails only at the load that its upstreams carry after
// the roll-out, and whose few failures are lost among all requests of the trial.
func TestVersionFailingAtItsLoadIsReverted(t *testing.T) {
	reverted := 0
	for seed := range uint64(30) {
		rng := rand.New(rand.NewPCG(seed, 31))
		s := newLoadedSite(rng, time.Duration(18+rng.IntN(8))*time.Second, 6)
		s.upstreams, s.badShare = 6, 0.1
		s.run(6, 0.95)
		assert.LessOrEqual(t, float64(s.exposed), exposure*float64(s.all)+exposureTolerance, "seed %d", seed)
		if s.verdict == Reverted {
			reverted++
		}
	}
	assert.GreaterOrEqual(t, reverted, 24, "some versions show too little within their exposure")
}

func TestRollOutThatIsTooShortForACap(t *testing.T) {
	o := RollOut{Service: service, NewVersion: newVersion, Duration: minCappedDuration - time.Second}
	assert.False(t, o.CapsExposure())
	assert.Zero(t, o.maxRampStart()-trialEnd, "the ramp follows the trial")
	o.Duration = minCappedDuration
	assert.True(t, o.CapsExposure())
	assert.Greater(t, o.maxRampStart(), trialEnd)
}

const exposureTolerance = 30

// loadedSite is a service with VMs, callers, and upstreams of two versions that take
// some time for each request. Upstreams of the new version fail above a load.
type loadedSite struct {
	rng          *rand.Rand
	duration     time.Duration
	perTick      int
	upstreams    int     // of each version
	badShare     float64 // of the requests fail on both versions
	cores        []*Core
	running      map[string]int
	ending       map[time.Duration][]loadedRequest
	all, exposed int
	verdict      Phase
	verdictAt    time.Duration
}

type loadedRequest struct {
	core     *Core
	version  string
	upstream string
	bad      bool
	running  int // at the upstream when the request began, itself included
}

const loadedSiteTick = 100 * time.Millisecond

func newLoadedSite(rng *rand.Rand, duration time.Duration, perTick int) *loadedSite {
	s := &loadedSite{rng: rng, duration: duration, perTick: perTick, upstreams: 9, running: make(map[string]int), ending: make(map[time.Duration][]loadedRequest)}
	for i := range 7 {
		c := New(fmt.Sprintf("vm-%d", i), limits, ttl)
		c.SetRollOut(begin, RollOut{Service: service, NewVersion: newVersion, Duration: duration})
		s.cores = append(s.cores, c)
	}
	return s
}

// run plays a roll-out until its deadline. Requests at the new version fail with the
// given chance while more than maxRunning run at their upstream.
func (s *loadedSite) run(maxRunning int, chance float64) {
	for now := loadedSiteTick; now < s.duration; now += loadedSiteTick {
		for range s.perTick {
			s.start(now, maxRunning, chance)
		}
		for _, r := range s.ending[now] {
			s.running[r.upstream]--
			r.core.AttemptEnded(Outcome{Service: service, Version: r.version, Route: "r", Conclusive: true, Bad: r.bad, Running: r.running})
		}
		exchangeReports(s.rng, s.cores, at(now), 0.5)
		for _, c := range s.cores {
			if verdicts := c.Tick(at(now)); len(verdicts) > 0 && s.verdict == InProgress {
				s.verdict, s.verdictAt = verdicts[0].Phase, now
			}
		}
	}
}

func (s *loadedSite) start(now time.Duration, maxRunning int, chance float64) {
	c, session := s.cores[s.rng.IntN(len(s.cores))], fmt.Sprintf("s%d", s.rng.IntN(4000))
	r, upstreams := loadedRequest{core: c, version: oldVersion}, s.upstreams
	if rule := c.Choose(at(now), service, session, "", versions); s.verdict == Completed || rule.Preferred(newVersion) {
		r.version = newVersion
		if rule.PreferredShare > 0 {
			upstreams = int(math.Ceil(rule.PreferredShare * float64(upstreams)))
		}
	}
	if s.verdict == Reverted {
		r.version, upstreams = oldVersion, s.upstreams
	}
	r.upstream = fmt.Sprint(r.version, s.rng.IntN(upstreams))
	c.AttemptStarted(at(now), service, session, r.version)
	s.running[r.upstream]++
	r.running = s.running[r.upstream]
	s.all++
	r.bad = s.rng.Float64() < s.badShare
	if r.version == newVersion {
		s.exposed++
		r.bad = r.bad || r.running > maxRunning && s.rng.Float64() < chance
	}
	end := now + time.Duration(1+s.rng.IntN(8))*loadedSiteTick
	s.ending[end] = append(s.ending[end], r)
}
