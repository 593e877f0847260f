package edge

import (
	"time"

	"k8s.io/klog/v2"

	"github.com/cranberrypier/cranberrypier/internal/exchange"
	"github.com/cranberrypier/cranberrypier/internal/modelchoice"
)

// modelPlan holds the models that a request may try.
type modelPlan struct {
	// model is the model of the next attempt.
	model string
	// largest is the model that the request may escalate to; empty for none.
	largest string
}

// planModels selects the models for a request. It starts with the smallest one,
// because the confidence of its response shows whether the largest one is
// needed. A route's models are ordered from the smallest to the largest.
func (s *Proxy) planModels(r *exchange.Request) *modelPlan {
	models := r.Route.Models
	if !r.AnyModel || len(models) == 0 {
		return &modelPlan{model: r.Model}
	}
	p := &modelPlan{model: models[0]}
	if len(models) > 1 && r.Route.MaxRuns > 1 {
		p.largest = models[len(models)-1]
	}
	return p
}

// tryEscalate switches the plan to the largest model if modelchoice.Escalate
// prefers it and the retry budget allows another run. It reports whether it did;
// the current response must then be dropped. No part of that response may have
// been sent to the caller yet.
func (p *modelPlan) tryEscalate(x *requestState, a *attempt) bool {
	const currentRun = 1 // the run whose response would be dropped
	if p.largest == "" || x.runs+currentRun >= x.req.Route.MaxRuns {
		return false
	}
	now := time.Now()
	left := x.req.ReceivedAt.Add(x.req.Route.TargetLatency).Sub(now)
	estimate, ok := x.proxy.fleet.Estimate(now, x.query(p.largest))
	if !ok {
		return false
	}
	current := modelchoice.Answer{Confidence: a.head.Confidence, TimeLeft: left}
	larger := modelchoice.LargerModel{
		Price: x.req.Service.Prices[p.largest], FirstToken: estimate.FirstByte, PrefillBacklog: estimate.PrefillBacklog,
		TimeLeft: left, TargetLatency: x.req.Route.TargetLatency,
	}
	if !modelchoice.Escalate(current, larger) {
		return false
	}
	if !x.proxy.budget.TryRetry(now, x.req.Service.Name) {
		klog.InfoS("model: kept, because the retry budget is exhausted", "request", x.req.ID, "because", "over_budget", "confidence", a.head.Confidence)
		return false
	}
	klog.InfoS("model: switched to the larger model", "request", x.req.ID, "from", p.model, "to", p.largest, "confidence", a.head.Confidence,
		"keep", current.Value(), "ask", larger.Value(), "expect", estimate.FirstByte.Milliseconds(), "backlog", estimate.PrefillBacklog.Milliseconds(), "left", left.Milliseconds())
	p.model, p.largest = p.largest, ""
	return true
}
