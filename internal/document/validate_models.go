package document

import (
	"fmt"
	"strings"
)

func (v *checker) models() {
	for i := range v.d.Models {
		m := &v.d.Models[i]
		p := fmt.Sprintf("models[%d]", i)
		v.name(p+".name", m.Name)
		if m.Name == AutoModel {
			v.addFault(p+".name", "%q is reserved for the classes' cascades", AutoModel)
		}
		stable := 0
		for j := range m.Versions {
			ver := &m.Versions[j]
			v.modelVersion(fmt.Sprintf("%s.versions[%d]", p, j), m, ver)
			if ver.State == Stable {
				stable++
			}
		}
		if stable != 1 {
			v.addFault(p+".versions", "%d versions are stable, expected exactly one", stable)
		}
		v.unique(p+".versions", ".name", namesOf(m.Versions, func(x Version) string { return x.Name }))
		v.successors(p, m)
	}
	v.unique("models", ".name", namesOf(v.d.Models, func(m Model) string { return m.Name }))
}

func (v *checker) modelVersion(p string, m *Model, ver *Version) {
	v.name(p+".name", ver.Name)
	switch ver.State {
	case Stable, RollOut, Withdrawn:
	default:
		v.addFault(p+".state", "%q is not a valid state, expected stable, rollout or withdrawn", ver.State)
	}
	if !(ver.Cost >= 0 && ver.Cost <= maxCost) {
		v.addFault(p+".cost", "%v is out of range, expected 0 to %g", ver.Cost, float64(maxCost))
	}
	v.fraction(p+".quality", ver.Quality)
	if (ver.State == RollOut) != (ver.RollOut != nil) {
		v.addFault(p+".rollout", "a roll-out plan is required in state rollout and not allowed in other states")
	}
	if ver.RollOut != nil {
		v.plan(p+".rollout", ver.RollOut)
	}
	if ver.Successor != "" && !v.versionNames[m.Name+"@"+ver.Successor] {
		v.addFault(p+".successor", "model %q has no version %q", m.Name, ver.Successor)
	}
}

func (v *checker) plan(p string, plan *RollOutPlan) {
	if len(plan.Steps) == 0 {
		v.addFault(p+".steps", "missing, expected shares in ascending order")
	}
	last := 0.0
	for i, s := range plan.Steps {
		path := fmt.Sprintf("%s.steps[%d]", p, i)
		switch {
		case !(s > 0 && s <= 1):
			v.addFault(path, "%v is out of range, expected more than 0 and at most 1", s)
		case s <= last:
			v.addFault(path, "%v is not above the previous share", s)
		}
		last = s
	}
	v.duration(p+".step_time", plan.StepTime, maxRampOrStepTime)
	v.fraction(p+".min_quality", plan.MinQuality)
	v.fraction(p+".max_error_rate", plan.MaxErrorRate)
	if plan.MaxFirstToken < 0 {
		v.addFault(p+".max_first_token", "%s is out of range, expected 0s or more", plan.MaxFirstToken.D())
	}
}

// successors reports each cycle of successors once, at its first version. With
// a cycle, there would be no version for the requests of a withdrawn one.
func (v *checker) successors(p string, m *Model) {
	next := make(map[string]string, len(m.Versions))
	for _, ver := range m.Versions {
		next[ver.Name] = ver.Successor
	}
	reported := make(map[string]bool)
	for i, ver := range m.Versions {
		if reported[ver.Name] {
			continue
		}
		cycle := cycleFrom(ver.Name, next)
		if cycle == nil {
			continue
		}
		for _, n := range cycle {
			reported[n] = true
		}
		v.addFault(fmt.Sprintf("%s.versions[%d].successor", p, i), "the successors form a cycle: %s", strings.Join(append(cycle, ver.Name), " -> "))
	}
}

// cycleFrom returns the names on the cycle from start back to start, or nil if
// the chain of successors does not lead back to start.
func cycleFrom(start string, next map[string]string) []string {
	chain := []string{start}
	for at := next[start]; at != "" && len(chain) <= len(next); at = next[at] {
		if at == start {
			return chain
		}
		chain = append(chain, at)
	}
	return nil
}
