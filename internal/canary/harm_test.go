package canary

import (
	"fmt"
	"math/rand/v2"
	"os"
	"strconv"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

// kindOfRequest is a route with its rate and the shares of its requests that fail: on
// every version, and in addition on the new one from some time after the start.
type kindOfRequest struct {
	route     string
	perSecond float64
	badShare  float64
	harm      float64
	harmFrom  time.Duration
}

// rollOutResult is the end of a simulated roll-out.
type rollOutResult struct {
	phase Phase
	after time.Duration
	// broken is set if more requests reached a bad version than the platform allows.
	broken bool
}

// platformBadAnswers is the number of answers that the version made bad after which, and after
// platformRollback, the platform allows no more requests to a bad version.
const (
	platformBadAnswers = 50
	platformRollback   = 5 * time.Second
	// afterDeadline is the time, beyond the roll-out's duration, that is simulated after
	// its deadline.
	afterDeadline = 35 * time.Second
)

// playRollOut simulates a roll-out over seven VMs until some time after its deadline.
func playRollOut(rng *rand.Rand, kinds []kindOfRequest, duration time.Duration) rollOutResult {
	const vms, tick = 7, 100 * time.Millisecond
	cores := make([]*Core, vms)
	for i := range cores {
		cores[i] = New(fmt.Sprintf("vm-%d", i), limits, ttl)
		cores[i].SetRollOut(begin, RollOut{Service: service, NewVersion: newVersion, Duration: duration})
	}
	isBad := false
	for _, k := range kinds {
		isBad = isBad || k.harm > 0
	}
	out := rollOutResult{phase: InProgress}
	all, exposed, badAnswers := 0, 0, 0
	var limit time.Duration
	for now := tick; now < 2*duration+afterDeadline; now += tick {
		for _, k := range kinds {
			n := int(k.perSecond*tick.Seconds() + rng.Float64())
			for range n {
				c, session := cores[rng.IntN(vms)], fmt.Sprintf("s%d", rng.IntN(4000))
				v := chosenVersion(c, at(now), session, "")
				switch out.phase {
				case Completed:
					v = newVersion
				case Reverted:
					v = oldVersion
				}
				c.AttemptStarted(at(now), service, session, v)
				bad := rng.Float64() < k.badShare
				if v == newVersion {
					harmed := now >= k.harmFrom && rng.Float64() < k.harm
					bad = bad || harmed
					if harmed {
						if badAnswers++; badAnswers == platformBadAnswers {
							limit = now + platformRollback
						}
					}
					out.broken = out.broken || isBad && limit > 0 && now > limit
				}
				if now < duration {
					all++
					if v == newVersion {
						exposed++
					}
				}
				c.AttemptEnded(Outcome{Service: service, Version: v, Route: k.route, Conclusive: true, Bad: bad, Running: UnknownRunning})
			}
		}
		exchangeReports(rng, cores, at(now), 0.5)
		for _, c := range cores {
			for _, v := range c.Tick(at(now)) {
				if out.phase == InProgress {
					out.phase, out.after = v.Phase, now
				}
			}
		}
		if out.phase == Reverted || out.phase == Completed && !isBad || out.broken {
			break
		}
	}
	out.broken = out.broken || isBad && float64(exposed) > limits.Share*float64(all)+limits.Tolerance
	return out
}

// plainService is a service with few requests of two kinds.
func plainService(badShare float64, harms ...float64) []kindOfRequest {
	kinds := []kindOfRequest{{route: "confirm", perSecond: 6.8, badShare: badShare}, {route: "lookup", perSecond: 5.3, badShare: badShare}}
	for i, h := range harms {
		kinds[i].harm = h
	}
	return kinds
}

// Guards against a version that fails somewhat more of a kind of request of which many
// fail on every version, and is completed because its time is up.
func TestVersionThatAddsFailuresIsCompleted(t *testing.T) {
	for _, tt := range []struct {
		name      string
		kinds     []kindOfRequest
		duration  time.Duration
		maxBroken int // of 40
	}{
		{"a fifth of one kind, of which a seventh fails", plainService(0.14, 0, 0.2), 16 * time.Second, 8},
		{"a third of one kind, of which a seventh fails", plainService(0.14, 0, 0.35), 16 * time.Second, 2},
		{"half of one kind", plainService(0.03, 0, 0.5), 16 * time.Second, 1},
		{"half of one kind, in a short time", plainService(0.03, 0, 0.5), 8 * time.Second, 1},
		{"a fifth of all", plainService(0.03, 0.2, 0.2), 24 * time.Second, 1},
		{"half of all, from the third second on, in a short time", []kindOfRequest{{route: "confirm", perSecond: 12, badShare: 0.03, harm: 0.5, harmFrom: 3 * time.Second}}, 4 * time.Second, 1},
	} {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			broken := 0
			for seed := range uint64(40) {
				if playRollOut(rand.New(rand.NewPCG(seed, 44)), tt.kinds, tt.duration).broken {
					broken++
				}
			}
			assert.LessOrEqual(t, broken, tt.maxBroken)
		})
	}
}

// Guards against a good version that is reverted, or mostly completed too late, beside
// failures that both versions have.
func TestGoodVersionBesideFailuresIsCompleted(t *testing.T) {
	for _, badShare := range []float64{0, 0.03, 0.14} {
		t.Run(fmt.Sprint(badShare), func(t *testing.T) {
			t.Parallel()
			const duration = 16 * time.Second
			completed, inTime := 0, 0
			for seed := range uint64(60) {
				r := playRollOut(rand.New(rand.NewPCG(seed, 45)), plainService(badShare), duration)
				if r.phase == Completed {
					completed++
				}
				if r.phase == Completed && r.after < duration {
					inTime++
				}
			}
			assert.Equal(t, 60, completed)
			t.Logf("%d of 60 in time", inTime)
		})
	}
}

// TestEvidenceTable prints the table of docs/design/rollout.md; it is run by hand with
// ROLLOUTS=1000.
func TestEvidenceTable(t *testing.T) {
	n, err := strconv.Atoi(os.Getenv("ROLLOUTS"))
	if err != nil {
		t.Skip("ROLLOUTS is not set")
	}
	for _, duration := range []time.Duration{4 * time.Second, 8 * time.Second, 16 * time.Second, 24 * time.Second} {
		for _, badShare := range []float64{0, 0.03, 0.14} {
			for _, harms := range [][]float64{{0, 0}, {0, 0.2}, {0, 0.35}, {0, 0.5}, {0.2, 0.2}, {0.5, 0.5}} {
				broken, late, reverted := 0, 0, 0
				worst := time.Duration(0)
				for seed := range uint64(n) {
					r := playRollOut(rand.New(rand.NewPCG(seed, 46)), plainService(badShare, harms...), duration)
					if r.broken {
						broken++
					}
					if r.phase == Reverted {
						reverted++
					}
					if r.after > duration || r.phase == InProgress {
						late++
					}
					worst = max(worst, r.after)
				}
				fmt.Printf("| %v | %g | %g, %g | %d | %d | %d | %.1f s |\n", duration, badShare, harms[0], harms[1], broken, reverted, late, worst.Seconds())
			}
		}
	}
}
