package edge

import (
	"slices"
	"time"

	"k8s.io/klog/v2"

	"github.com/cranberrypier/cranberrypier/internal/exchange"
	"github.com/cranberrypier/cranberrypier/internal/modelchoice"
)

// modelPlan holds the models that a request may try.
type modelPlan struct {
	// model is the model of the next attempt.
	model string
	// larger are the models that the request may escalate to, smallest first; empty
	// for none.
	larger []string
	// dropped is the model whose answer was dropped last, and its confidence.
	dropped           string
	droppedConfidence int
}

// planModels selects the models for a request. It starts with the smallest one,
// because the confidence of its response shows whether a larger one is needed. A
// route's models are ordered from the smallest to the largest.
func (s *Proxy) planModels(r *exchange.Request) *modelPlan {
	models := r.Route.Models
	if !r.AnyModel || len(models) == 0 {
		return &modelPlan{model: r.Model}
	}
	p := &modelPlan{model: models[0]}
	if r.Route.MaxRuns > 1 {
		p.larger = models[1:]
	}
	return p
}

// isLargest reports whether a model is the largest of the request's route.
func isLargest(r *exchange.Request, model string) bool {
	models := r.Route.Models
	return len(models) > 0 && models[len(models)-1] == model
}

// tryEscalate switches the plan to a larger model if modelchoice.Escalate prefers it
// and the retry budget allows another run. It reports whether it did; the current
// response must then be dropped. No part of that response may have been sent to the
// caller yet.
func (p *modelPlan) tryEscalate(x *requestState, a *attempt) bool {
	p.observe(x, a)
	if len(p.larger) == 0 || !x.mayRunAgain() {
		return false
	}
	now := time.Now()
	current := modelchoice.Answer{Confidence: a.head.Confidence, TimeLeft: x.timeToTarget(now)}
	options, names := p.options(now, x, a)
	best, ok := modelchoice.Escalate(current, options)
	if !ok || x.proxy.stop.Load().outlasts(now, streamHeadTimeoutFactor*options[best].FirstToken) {
		return false
	}
	if !x.proxy.budget.TryRetry(now, x.req.Service.Name) {
		klog.InfoS("model: kept, because the retry budget is exhausted", "request", x.req.ID, "because", "over_budget", "confidence", a.head.Confidence)
		return false
	}
	chosen := options[best]
	klog.InfoS("model: switched to the larger model", "request", x.req.ID, "from", p.model, "to", names[best], "confidence", a.head.Confidence,
		"keep", current.Value(), "ask", chosen.Value(), "expect", chosen.FirstToken.Milliseconds(), "expectConfidence", chosen.ExpectedConfidence,
		"backlog", chosen.PrefillBacklog.Milliseconds(), "left", current.TimeLeft.Milliseconds())
	p.dropped, p.droppedConfidence = p.model, a.head.Confidence
	p.model = names[best]
	p.larger = p.larger[slices.Index(p.larger, p.model)+1:]
	return true
}

// observe learns from the response to a request whose smaller model's answer was
// dropped.
func (p *modelPlan) observe(x *requestState, a *attempt) {
	if p.dropped == "" {
		return
	}
	x.proxy.mu.Lock()
	x.proxy.gains.Observe(p.dropped, p.model, isLargest(x.req, p.model), p.droppedConfidence, a.head.Confidence)
	x.proxy.mu.Unlock()
	p.dropped = ""
}

// options returns the larger models that have an eligible upstream, and their names.
func (p *modelPlan) options(now time.Time, x *requestState, a *attempt) (options []modelchoice.LargerModel, names []string) {
	left := x.timeToTarget(now)
	for _, name := range p.larger {
		estimate, ok := x.proxy.fleet.Estimate(now, x.query(name))
		if !ok {
			continue
		}
		x.proxy.mu.Lock()
		confidence := x.proxy.gains.Expect(p.model, name, isLargest(x.req, name), a.head.Confidence)
		x.proxy.mu.Unlock()
		names = append(names, name)
		options = append(options, modelchoice.LargerModel{
			ExpectedConfidence: confidence, Price: x.priceOf(name), FirstToken: estimate.FirstByte,
			PrefillBacklog: estimate.PrefillBacklog, TimeLeft: left, TargetLatency: x.sharedTarget(),
		})
	}
	return options, names
}

// priceOf returns the price of a model, weighed by the route's priority where callers
// compete for capacity. A team's priority says whose requests go first, not what the
// answer to a kind of request is worth.
func (x *requestState) priceOf(model string) float64 {
	price := x.req.Service.Prices[model]
	if x.proxy.contention {
		price *= modelchoice.PriceFactor(x.req.Route.Priority)
	}
	return price
}

// sharedTarget returns the target latency against which an upstream's time is weighed.
// Where callers compete for capacity, it is the shortest of the service's routes: a
// request that can wait delays others that can't.
func (x *requestState) sharedTarget() time.Duration {
	target := x.req.Route.TargetLatency
	if shortest := x.req.Service.ShortestTarget; x.proxy.contention && shortest > 0 {
		target = min(target, shortest)
	}
	return target
}

// timeToTarget returns the time until the route's target latency.
func (x *requestState) timeToTarget(now time.Time) time.Duration {
	return x.req.ReceivedAt.Add(x.req.Route.TargetLatency).Sub(now)
}
