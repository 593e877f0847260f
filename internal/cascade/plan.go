package cascade

import (
	"slices"
	"time"
)

type planKey struct{ team, class string }

// classPlan is the cached plan for the requests of one team and class.
type classPlan struct {
	mixes      [kindCount]mix
	validUntil time.Time
	options    []Option
	target     float64
	// streamedFraction is the moving average of the fraction of requests that are
	// streamed.
	streamedFraction float64
	// highCredit alternates evenly between the mix's policies without randomness:
	// each request adds mix.fraction to it, and at 1 or more the request uses the
	// high policy and subtracts 1.
	highCredit [kindCount]float64
	// nextHighCredit does the same for the options that follow a rejected answer.
	nextHighCredit float64
	requests       int
}

// streamedFractionWeight is the weight of a new request in the moving average
// streamedFraction.
const streamedFractionWeight = 0.02

// currentPlan returns the plan for the request's team and class. It computes the
// plan again if it has expired or if the target or the options have changed.
func (c *Core) currentPlan(r *Request, policies []policy, now time.Time) *classPlan {
	k := planKey{r.Team, r.Class}
	plan := c.plans[k]
	if plan == nil {
		if len(c.plans) >= maxPlans {
			clear(c.plans)
		}
		// The first request uses the policy with the higher quality.
		plan = &classPlan{streamedFraction: 0.5, highCredit: [kindCount]float64{1, 1}, nextHighCredit: 1}
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

// containsPolicy reports whether the policy is among those feasible for the
// request.
func containsPolicy(ps []policy, p *policy) bool {
	return slices.ContainsFunc(ps, func(o policy) bool {
		return o.first == p.first && o.judge == p.judge && o.thresholdBin == p.thresholdBin && o.next == p.next
	})
}

// nextOption returns the option that the plan runs after an answer of option first
// was rated below the threshold. If the mix's two policies disagree, it alternates
// between them in proportion to how often each of them escalates.
func (p *classPlan) nextOption(first int) (int, bool) {
	m := &p.mixes[kindBuffered]
	low, high := m.low.judge && m.low.first == first, m.high.judge && m.high.first == first
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
		p.nextHighCredit += fromHigh / (fromHigh + fromLow)
	}
	if p.nextHighCredit >= 1 {
		p.nextHighCredit--
		return m.high.next, true
	}
	return m.low.next, true
}

// choosePolicy alternates between the mix's policies in proportion to their
// fractions. The cap on the credit keeps a run of high policies short.
func (p *classPlan) choosePolicy(kind int) policy {
	m := &p.mixes[kind]
	p.requests++
	p.highCredit[kind] = min(p.highCredit[kind]+m.fraction, 2)
	if p.highCredit[kind] >= 1 {
		p.highCredit[kind]--
		return m.high
	}
	return m.low
}

// explore runs, every requestsPerExploration requests, an option that is cheaper
// than the plan's and has fewer than minKnownRatings ratings. Its answer is judged,
// so that the caller doesn't receive a bad one.
func (c *Core) explore(plan *classPlan, r *Request, estimates []estimate, durations []time.Duration, now time.Time) (Step, bool) {
	if r.Streaming || c.unratedSteps >= maxUnratedSteps || plan.requests%requestsPerExploration != requestsPerExploration-1 {
		return Step{}, false
	}
	for i := 0; i < min(plan.mixes[kindBuffered].low.first, len(estimates)-1); i++ {
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
		return Step{Index: p.first, Judge: true, Threshold: float64(p.thresholdBin) / bins, Reason: ReasonJudged}
	}
	if estimates[p.first].mean < r.Target && cheapestSufficient(estimates, r.Target) == p.first {
		return Step{Index: p.first, Reason: ReasonStrongest}
	}
	return Step{Index: p.first, Reason: ReasonDirect}
}
