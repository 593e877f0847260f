package edge

import (
	"time"

	"k8s.io/klog/v2"

	"github.com/cranberrypier/cranberrypier/internal/exchange"
	"github.com/cranberrypier/cranberrypier/internal/modelchoice"
)

// modelPlan is which models a request tries.
type modelPlan struct {
	model string
	// larger is the model that may be asked instead; empty for none.
	larger string
}

// planModels names the models for a request: the smallest first, since its
// opinion of its own answer tells whether the largest is needed.
func (s *Service) planModels(r *exchange.Request) *modelPlan {
	sizes := r.Route.Models
	if !r.AnyModel || len(sizes) == 0 {
		return &modelPlan{model: r.Model}
	}
	p := &modelPlan{model: sizes[0]}
	if len(sizes) > 1 && r.Route.MaxUpstreams > 1 {
		p.larger = sizes[len(sizes)-1]
	}
	return p
}

// escalate reports whether the answer is dropped for that of a larger model.
// The caller must not have got any of it.
func (p *modelPlan) escalate(x *run, a *attempt) bool {
	const withThis = 1 // the run whose answer would be dropped
	if p.larger == "" || x.runs+withThis >= x.req.Route.MaxUpstreams {
		return false
	}
	now := time.Now()
	left := x.req.ReceivedAt.Add(x.req.Route.TargetLatency).Sub(now)
	outlook, ok := x.s.fleet.Estimate(now, x.query(p.larger))
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
	if !x.s.budget.TryRetry(now, x.req.Service.Name) {
		klog.InfoS("model: kept", "request", x.req.ID, "because", "over_budget", "confidence", a.head.Confidence)
		return false
	}
	klog.InfoS("model: larger", "request", x.req.ID, "from", p.model, "to", p.larger, "confidence", a.head.Confidence,
		"keep", answer.Value(), "ask", offer.Value(), "expect", outlook.FirstByte.Milliseconds(), "backlog", outlook.PrefillBacklog.Milliseconds(), "left", left.Milliseconds())
	p.model, p.larger = p.larger, ""
	return true
}
