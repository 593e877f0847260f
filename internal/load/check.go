package load

import (
	"fmt"
	"strings"

	"github.com/cranberrypier/cranberrypier/internal/document"
	"github.com/cranberrypier/cranberrypier/internal/fake/engine"
	"github.com/cranberrypier/cranberrypier/internal/fake/executions"
	"github.com/cranberrypier/cranberrypier/internal/result"
)

// Verdict is the result of one check.
type Verdict struct {
	Point string
	// Looked is the number of cases that the check looked at; with none, the
	// check proves nothing.
	Looked     int
	Violations []string
	// Excused counts cases that a stated limit of the mechanism explains.
	Excused int
}

// maxShown bounds the violations that are kept of each check.
const maxViolations = 20

func (v *Verdict) addViolation(format string, args ...any) {
	if len(v.Violations) < maxViolations {
		v.Violations = append(v.Violations, fmt.Sprintf(format, args...))
	}
}

// BillCount is the number of bills by identity.
type BillCount map[string]int

// Evidence is what the checks judge: one run and the bills in the
// platform's service. Bills is nil when they were not read.
type Evidence struct {
	Document *document.Document
	Run      *Run
	Bills    BillCount
	// LeavingGraceMS is the time, in milliseconds, in which work may still
	// arrive at an upstream that began to leave.
	LeavingGraceMS int64
	// Forbidden are spans without new work.
	Forbidden []Forbidden
	// Killed are routers that ended without warning; what they answered right
	// before may lack its bill.
	Killed []Killed
}

// Check runs all checks over the evidence.
func (e *Evidence) Check() []Verdict {
	out := []Verdict{
		e.checkAtMostOnce(), e.checkNotRun(), e.checkAllowedVersions(), e.checkCompleteResponses(),
		e.checkSessions(), e.checkColdLimit(), e.checkLeaving(), e.checkFencing(),
	}
	for _, f := range e.Forbidden {
		out = append(out, e.checkForbiddenSpan(f))
	}
	if e.Bills != nil {
		out = append(out, e.checkBilledOnce())
	}
	return out
}

// each calls f for every execution.
func (e *Evidence) eachExecution(f func(l *StandInLog, x *executions.Execution)) {
	for i := range e.Run.StandIns {
		l := &e.Run.StandIns[i]
		for j := range l.Executions {
			f(l, &l.Executions[j])
		}
	}
}

// atMostOnce: a claim's work ran at most once over all upstreams.
func (e *Evidence) checkAtMostOnce() Verdict {
	v := Verdict{Point: "work that may not be repeated ran at most once"}
	runs := map[string]int{}
	e.eachExecution(func(l *StandInLog, x *executions.Execution) {
		if !x.Write || !x.Ran {
			return
		}
		if x.ClaimKey == "" {
			v.addViolation("%s ran %s of request %s without a claim", l.Upstream, x.Target, x.Request)
			return
		}
		runs[x.ClaimKey]++
	})
	v.Looked = len(runs)
	for key, n := range runs {
		if n > 1 {
			v.addViolation("claim %s ran %d times", key, n)
		}
	}
	for i := range e.Run.Records {
		r := &e.Run.Records[i]
		if r.Kind == Write && r.OK() && runs[r.Key] == 0 {
			v.addViolation("claim %s was answered but never ran", r.Key)
		}
	}
	return v
}

// notRun: a refusal that says so is true.
func (e *Evidence) checkNotRun() Verdict {
	v := Verdict{Point: "a refusal that says not run is true"}
	ranAt := map[string]string{}
	e.eachExecution(func(l *StandInLog, x *executions.Execution) {
		if x.Ran {
			ranAt[x.Request] = l.Upstream
		}
	})
	for i := range e.Run.Records {
		r := &e.Run.Records[i]
		if r.Run != result.NotRun {
			continue
		}
		v.Looked++
		if upstream, ok := ranAt[r.ID]; ok && r.ID != "" {
			v.addViolation("request %s was refused as not run with code %d, but ran at %s", r.ID, r.Code, upstream)
		}
	}
	return v
}

// allowedVersions: work ran only on versions that the team may use and that
// are not withdrawn in the document.
func (e *Evidence) checkAllowedVersions() Verdict {
	v := Verdict{Point: "work ran only on allowed versions"}
	index := document.NewIndex(e.Document)
	teamByRequest := map[string]string{}
	for i := range e.Run.Records {
		teamByRequest[e.Run.Records[i].ID] = e.Run.Records[i].Team
	}
	e.eachExecution(func(l *StandInLog, x *executions.Execution) {
		model, version, ok := strings.Cut(x.Target, "@")
		team, found := teamByRequest[x.Request]
		if !ok || !x.Ran || !found || x.Request == "" {
			return
		}
		v.Looked++
		if !index.Allowed(team, model, version) {
			v.addViolation("request %s of team %s ran on %s at %s", x.Request, team, x.Target, l.Upstream)
		}
	})
	return v
}

// wholeAnswers: each answer is exactly the engine's for the request's prompt.
// The last token, the quality, may differ when a version turned bad.
func (e *Evidence) checkCompleteResponses() Verdict {
	v := Verdict{Point: "each answer is whole and the request's own"}
	for i := range e.Run.Records {
		r := &e.Run.Records[i]
		if r.Kind != Chat || !r.OK() {
			continue
		}
		v.Looked++
		set, mean, ok := e.Run.findEngine(r.Model)
		if !ok {
			v.addViolation("request %s was answered by %q, which no engine has", r.ID, r.Model)
			continue
		}
		shape := engine.Shape{MinTokens: set.MinTokens, MaxTokens: set.MaxTokens, Spread: set.QualitySpread}
		want := engine.NewAnswer(r.Model, r.Prompt, mean, shape, r.MaxTokens)
		body := strings.Join(want.Tokens[:len(want.Tokens)-1], "")
		rest, found := strings.CutPrefix(r.Text, body)
		if _, complete := engine.QualityOf(rest); !found || !complete || strings.Contains(rest, " ") {
			v.addViolation("request %s by %s: got %q, want %q", r.ID, r.Model, r.Text, want.Text())
		}
	}
	return v
}

// sessions: a session of a model stays on its version, unless its caller is
// told that it moved. The order of answers is not that of decisions, so the
// check counts versions and moves.
func (e *Evidence) checkSessions() Verdict {
	v := Verdict{Point: "a session keeps its version"}
	type key struct{ team, session, model string }
	type observations struct{ versions, moves map[string]bool }
	bySession := map[key]observations{}
	for i := range e.Run.Records {
		r := &e.Run.Records[i]
		model, version, ok := strings.Cut(r.Model, "@")
		if r.Session == "" || !r.OK() || !ok {
			continue
		}
		v.Looked++
		k := key{r.Team, r.Session, model}
		if bySession[k].versions == nil {
			bySession[k] = observations{map[string]bool{}, map[string]bool{}}
		}
		bySession[k].versions[version] = true
		if r.MovedFrom != "" {
			bySession[k].moves[r.MovedFrom] = true
		}
	}
	for k, s := range bySession {
		if len(s.versions) > 1+len(s.moves) {
			v.addViolation("session %s of team %s saw %d versions of %s and was told of %d moves", k.session, k.team, len(s.versions), k.model, len(s.moves))
		}
	}
	return v
}

// coldLimit: no engine got more work in a cold start than it bears. Arrivals
// within a second after an unannounced cold start could not know of it.
func (e *Evidence) checkColdLimit() Verdict {
	v := Verdict{Point: "a cold upstream got no more than it bears"}
	for i := range e.Run.StandIns {
		l := &e.Run.StandIns[i]
		if l.Engine == nil {
			continue
		}
		for _, x := range l.Executions {
			if x.Cold {
				v.Looked++
			}
		}
		n := l.Engine.ColdViolations - l.Engine.ColdGraceViolations
		if l.Before != nil {
			n -= l.Before.ColdViolations - l.Before.ColdGraceViolations
		}
		if n > 0 {
			v.addViolation("%s got %d requests above its cold limit (most at once: %d)", l.Upstream, n, l.Engine.MaxCold)
		}
	}
	return v
}

// leaving: an engine that is leaving gets no new work after the grace.
func (e *Evidence) checkLeaving() Verdict {
	v := Verdict{Point: "a leaving upstream gets no new work after seconds"}
	e.eachExecution(func(l *StandInLog, x *executions.Execution) {
		if x.LeavingForMS == 0 {
			return
		}
		v.Looked++
		if x.LeavingForMS > e.LeavingGraceMS {
			v.addViolation("%s got request %s %d ms after it began to leave", l.Upstream, x.Request, x.LeavingForMS)
		}
	})
	return v
}

// fencing: an engine that honours fencing numbers accepted no old one.
func (e *Evidence) checkFencing() Verdict {
	v := Verdict{Point: "a fenced engine took no order with an old number"}
	for i := range e.Run.StandIns {
		l := &e.Run.StandIns[i]
		if l.Engine == nil || l.Settings == nil || !l.Settings.Fencing {
			continue
		}
		v.Looked += l.Engine.Orders
		if l.Engine.StaleOrders > 0 {
			v.addViolation("%s took %d orders with an old number", l.Upstream, l.Engine.StaleOrders)
		}
	}
	return v
}

// billedOnce: each answered request has exactly one bill, and no work has two.
func (e *Evidence) checkBilledOnce() Verdict {
	v := Verdict{Point: "each request is billed once"}
	for id, n := range e.Bills {
		if n > 1 {
			v.addViolation("%s has %d bills", id, n)
		}
	}
	possiblyLost := e.possiblyLostBills()
	for i := range e.Run.Records {
		r := &e.Run.Records[i]
		if !r.OK() {
			continue
		}
		v.Looked++
		id := r.billID()
		switch {
		case e.Bills[id] > 0:
		case possiblyLost[id]:
			v.Excused++
		default:
			v.addViolation("request %s (%s) has no bill", id, r.Stream)
		}
	}
	return v
}
