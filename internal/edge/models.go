package edge

import (
	"os"
	"strconv"

	"github.com/cranberrypier/cranberrypier/internal/exchange"
)

// modelPlan is which models a request tries.
type modelPlan struct {
	model string
	next  []string
}

var thr, _ = strconv.Atoi(os.Getenv("PIER_T"))

// planModels names the models for a request.
func (s *Service) planModels(r *exchange.Request) *modelPlan {
	if !r.AnyModel || len(r.Route.Models) == 0 {
		return &modelPlan{model: r.Model}
	}
	return &modelPlan{model: r.Route.Models[0], next: r.Route.Models[len(r.Route.Models)-1:]}
}

// escalate reports whether the answer is dropped for that of a stronger model.
func (p *modelPlan) escalate(x *run, a *attempt) bool {
	if len(p.next) == 0 || a.head.Confidence >= thr || !x.s.budget.Repeat(a.began, x.req.Service.Name) {
		return false
	}
	p.model = p.next[0]
	p.next = nil
	return true
}
