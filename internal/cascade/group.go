package cascade

import (
	"slices"
	"time"
)

type planKey struct{ team, class string }

// group is the plan of one team and class.
type classPlan struct {
	mixes      [kindCount]mix
	validUntil time.Time
	options    []Option
	target     float64
	// streamed is the moving average of the streamed part of the requests.
	streamedFraction float64
	// debt is the part of a request of a mix's high policy that is due; it
	// spreads the fractions evenly without randomness.
	highDue [kindCount]float64
	// nextDebt does the same for the options that follow short answers.
	nextHighDue float64
	requests    int
}

// streamedWeight is the weight of a new request in the streamed part.
const streamedFractionWeight = 0.02

// group returns the plan, computed again when it is old or its request differs.
func (c *Core) currentPlan(r *Request, policies []policy, now time.Time) *classPlan {
	k := planKey{r.Team, r.Class}
	plan := c.plans[k]
	if plan == nil {
		if len(c.plans) >= maxPlans {
			clear(c.plans)
		}
		// The better way comes first.
		plan = &classPlan{streamedFraction: 0.5, highDue: [kindCount]float64{1, 1}, nextHighDue: 1}
		c.plans[k] = plan
	}
	plan.streamedFraction += streamedFractionWeight * (float64(kindOf(r)) - plan.streamedFraction)
	if now.Before(plan.validUntil) && plan.target == r.Target && slices.Equal(plan.options, r.Options) {
		return plan
	}
	directPolicies := slices.DeleteFunc(slices.Clone(policies), func(p policy) bool { return p.judge })
	if m, ok := cheapestMixes([kindCount][]policy{kindBuffered: policies, kindStreamed: directPolicies}, r.Target, plan.streamedFraction); ok {
		plan.mixes = m
	}
	plan.validUntil = now.Add(planTTL)
	plan.options = slices.Clone(r.Options)
	plan.target = r.Target
	return plan
}

// possible reports whether the policy is among those that fit the request.
func containsPolicy(ps []policy, p *policy) bool {
	return slices.ContainsFunc(ps, func(o policy) bool {
		return o.entry == p.entry && o.judge == p.judge && o.thresholdBin == p.thresholdBin && o.next == p.next
	})
}

// next is the option to which the plan goes after a short answer of entry. If
// its two policies differ in that, both are taken in turn, as often as each
// comes to it.
func (p *classPlan) nextOption(entry int) (int, bool) {
	m := &p.mixes[kindBuffered]
	low, high := m.low.judge && m.low.entry == entry, m.high.judge && m.high.entry == entry
	switch {
	case !low && !high:
		return 0, false
	case !low || (high && m.low.next == m.high.next):
		return m.high.next, true
	case !high:
		return m.low.next, true
	}
	fromHigh, fromLow := m.fraction*m.high.escalateProbability, (1-m.fraction)*m.low.escalateProbability
	if fromHigh+fromLow > 0 {
		p.nextHighDue += fromHigh / (fromHigh + fromLow)
	}
	if p.nextHighDue >= 1 {
		p.nextHighDue--
		return m.high.next, true
	}
	return m.low.next, true
}

// choose takes the mix's policies in turn, by their fractions.
func (p *classPlan) choosePolicy(kind int) policy {
	m := &p.mixes[kind]
	p.requests++
	p.highDue[kind] = min(p.highDue[kind]+m.fraction, 2)
	if p.highDue[kind] >= 1 {
		p.highDue[kind]--
		return m.high
	}
	return m.low
}

// explore tries, now and then, a cheaper option that is hardly known; the
// judgement keeps a bad answer from the caller.
func (c *Core) explore(plan *classPlan, r *Request, estimates []estimate, durations []time.Duration, now time.Time) (Step, bool) {
	if r.Streaming || c.unratedSteps >= maxUnratedSteps || plan.requests%exploreInterval != exploreInterval-1 {
		return Step{}, false
	}
	for i := 0; i < min(plan.mixes[kindBuffered].low.entry, len(estimates)-1); i++ {
		o := r.Options[i]
		bad := c.ratingDrop(VersionKey{o.Model, o.Version}, now) > 0
		if estimates[i].ratings >= minKnownRatings || bad || durations[i]+judgeTime+durations[len(durations)-1] > r.TimeLeft {
			continue
		}
		plan.requests++
		c.unratedSteps++
		return Step{Index: i, Judge: true, Threshold: r.Target, Reason: ReasonExplore}, true
	}
	return Step{}, false
}

func (c *Core) policyStep(p policy, r *Request, estimates []estimate) Step {
	if p.judge {
		c.unratedSteps++
		return Step{Index: p.entry, Judge: true, Threshold: float64(p.thresholdBin) / bins, Reason: ReasonJudged}
	}
	if estimates[p.entry].mean < r.Target && cheapestSufficient(estimates, r.Target) == p.entry {
		return Step{Index: p.entry, Reason: ReasonStrongest}
	}
	return Step{Index: p.entry, Reason: ReasonDirect}
}
