package edge

import (
	"time"

	"k8s.io/klog/v2"

	"github.com/cranberrypier/cranberrypier/internal/exchange"
	"github.com/cranberrypier/cranberrypier/internal/modelchoice"
)

// modelPlan holds the models that a request may try.
type modelPlan struct {
	model string
	// larger is the model that the request may escalate to; empty for none.
	larger string
}

// planModels selects the models for a request. It starts with the smallest one,
// because the confidence of its response shows whether the largest one is
// needed.
func (s *Proxy) planModels(r *exchange.Request) *modelPlan {
	models := r.Route.Models
	if !r.AnyModel || len(models) == 0 {
		return &modelPlan{model: r.Model}
	}
	p := &modelPlan{model: models[0]}
	if len(models) > 1 && r.Route.MaxRuns > 1 {
		p.larger = models[len(models)-1]
	}
	return p
}

// escalate reports whether to drop this response in favor of a larger model's.
// No part of the response may have been sent to the caller yet.
func (p *modelPlan) escalate(x *requestState, a *attempt) bool {
	const currentRun = 1 // the run whose response would be dropped
	if p.larger == "" || x.runs+currentRun >= x.req.Route.MaxRuns {
		return false
	}
	now := time.Now()
	left := x.req.ReceivedAt.Add(x.req.Route.TargetLatency).Sub(now)
	outlook, ok := x.service.fleet.Estimate(now, x.query(p.larger))
	if !ok {
		return false
	}
	answer := modelchoice.Answer{Confidence: a.head.Confidence, TimeLeft: left}
	offer := modelchoice.LargerModel{
		Price: x.req.Service.Prices[p.larger], FirstToken: outlook.FirstByte, PrefillBacklog: outlook.PrefillBacklog,
		TimeLeft: left, TargetLatency: x.req.Route.TargetLatency,
	}
	if !modelchoice.Escalate(answer, offer) {
		return false
	}
	if !x.service.budget.TryRetry(now, x.req.Service.Name) {
		klog.InfoS("model: kept", "request", x.req.ID, "because", "over_budget", "confidence", a.head.Confidence)
		return false
	}
	klog.InfoS("model: larger", "request", x.req.ID, "from", p.model, "to", p.larger, "confidence", a.head.Confidence,
		"keep", answer.Value(), "ask", offer.Value(), "expect", outlook.FirstByte.Milliseconds(), "backlog", outlook.PrefillBacklog.Milliseconds(), "left", left.Milliseconds())
	p.model, p.larger = p.larger, ""
	return true
}
