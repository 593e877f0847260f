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
	Invariant string
	// Examined is the number of cases that the check examined. If it is zero, the
	// check proves nothing.
	Examined   int
	Violations []string
	// Tolerated counts missing bills that a killed router may have lost. They are
	// not violations.
	Tolerated int
}

// maxViolations limits the violations that each check stores.
const maxViolations = 20

func (v *Verdict) addViolation(format string, args ...any) {
	if len(v.Violations) < maxViolations {
		v.Violations = append(v.Violations, fmt.Sprintf(format, args...))
	}
}

// BillCount counts bills by identity.
type BillCount map[string]int

// Evidence is the input of the checks: one run and the bills in the platform's
// object store. Bills is nil if they were not read.
type Evidence struct {
	Document *document.Document
	Run      *Run
	Bills    BillCount
	// LeavingGraceMS is the time after an upstream begins to leave in which it
	// may still receive new requests, in milliseconds.
	LeavingGraceMS int64
	// ForbiddenSpans are the spans in which a zone, upstream or version may receive
	// no new requests.
	ForbiddenSpans []ForbiddenSpan
	// RouterKills are the killed routers. The bills of their last responses may be
	// missing.
	RouterKills []RouterKill
}

// Check runs all checks on the evidence.
func (e *Evidence) Check() []Verdict {
	out := []Verdict{
		e.checkAtMostOnce(), e.checkNotRun(), e.checkAllowedVersions(), e.checkCompleteResponses(),
		e.checkSessions(), e.checkColdLimit(), e.checkLeaving(), e.checkFencing(),
	}
	for _, f := range e.ForbiddenSpans {
		out = append(out, e.checkForbiddenSpan(f))
	}
	if e.Bills != nil {
		out = append(out, e.checkBilledOnce())
	}
	return out
}

// eachExecution calls f for every logged execution.
func (e *Evidence) eachExecution(f func(l *StandInLog, x *executions.Execution)) {
	for i := range e.Run.StandIns {
		l := &e.Run.StandIns[i]
		for j := range l.Executions {
			f(l, &l.Executions[j])
		}
	}
}

// checkAtMostOnce checks that each claim's write ran at most once on all
// upstreams together, and at least once if the caller received a response.
func (e *Evidence) checkAtMostOnce() Verdict {
	v := Verdict{Invariant: "non-repeatable work ran at most once"}
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
	v.Examined = len(runs)
	for key, n := range runs {
		if n > 1 {
			v.addViolation("claim %s ran %d times", key, n)
		}
	}
	for i := range e.Run.Records {
		r := &e.Run.Records[i]
		if r.Kind == Write && r.OK() && runs[r.Key] == 0 {
			v.addViolation("claim %s received a response but never ran", r.Key)
		}
	}
	return v
}

// checkNotRun checks that requests rejected as not run did not run.
func (e *Evidence) checkNotRun() Verdict {
	v := Verdict{Invariant: "requests rejected as not run did not run"}
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
		v.Examined++
		if upstream, ok := ranAt[r.ID]; ok && r.ID != "" {
			v.addViolation("request %s was rejected as not run with code %d, but ran at %s", r.ID, r.Code, upstream)
		}
	}
	return v
}

// checkAllowedVersions checks that requests ran only on versions that the team
// may use, regardless of the state of the version.
func (e *Evidence) checkAllowedVersions() Verdict {
	v := Verdict{Invariant: "requests ran only on allowed versions"}
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
		v.Examined++
		if !index.Allowed(team, model, version) {
			v.addViolation("request %s of team %s ran on %s at %s", x.Request, team, x.Target, l.Upstream)
		}
	})
	return v
}

// checkCompleteResponses checks that each response is exactly the one that the
// engine generates for the request's prompt. Only the last token, which states
// the quality, may differ, because a fault can lower a version's quality.
func (e *Evidence) checkCompleteResponses() Verdict {
	v := Verdict{Invariant: "each response is complete and belongs to its request"}
	for i := range e.Run.Records {
		r := &e.Run.Records[i]
		if r.Kind != Chat || !r.OK() {
			continue
		}
		v.Examined++
		set, mean, ok := e.Run.findEngine(r.Model)
		if !ok {
			v.addViolation("request %s was served by %q, which no engine serves", r.ID, r.Model)
			continue
		}
		shape := engine.AnswerShape{MinTokens: set.MinTokens, MaxTokens: set.MaxTokens, QualitySpread: set.QualitySpread}
		want := engine.NewAnswer(r.Model, r.Prompt, mean, shape, r.MaxTokens)
		body := strings.Join(want.Tokens[:len(want.Tokens)-1], "")
		rest, found := strings.CutPrefix(r.Text, body)
		if _, complete := engine.ParseQuality(rest); !found || !complete || strings.Contains(rest, " ") {
			v.addViolation("request %s by %s: got %q, want %q", r.ID, r.Model, r.Text, want.Text())
		}
	}
	return v
}

// checkSessions checks that a session stays on one version of a model unless a
// response announces a move. Responses can arrive in another order than routing
// decisions were made, so the check compares the numbers of versions and moves.
func (e *Evidence) checkSessions() Verdict {
	v := Verdict{Invariant: "a session keeps its version"}
	type key struct{ team, session, model string }
	type observations struct{ versions, moves map[string]bool }
	bySession := map[key]observations{}
	for i := range e.Run.Records {
		r := &e.Run.Records[i]
		model, version, ok := strings.Cut(r.Model, "@")
		if r.Session == "" || !r.OK() || !ok {
			continue
		}
		v.Examined++
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
			v.addViolation("session %s of team %s used %d versions of %s, but responses announced %d moves", k.session, k.team, len(s.versions), k.model, len(s.moves))
		}
	}
	return v
}

// checkColdLimit checks that no engine received more requests during a cold
// start than its cold limit allows. It does not count the second after an
// unannounced cold start, because routers cannot have learned of it yet.
func (e *Evidence) checkColdLimit() Verdict {
	v := Verdict{Invariant: "a cold upstream received no more than its cold limit"}
	for i := range e.Run.StandIns {
		l := &e.Run.StandIns[i]
		if l.Engine == nil {
			continue
		}
		for _, x := range l.Executions {
			if x.Cold {
				v.Examined++
			}
		}
		n := l.Engine.ColdViolations - l.Engine.ColdGraceViolations
		if l.Before != nil {
			n -= l.Before.ColdViolations - l.Before.ColdGraceViolations
		}
		if n > 0 {
			v.addViolation("%s received %d requests above its cold limit (maximum in flight: %d)", l.Upstream, n, l.Engine.MaxCold)
		}
	}
	return v
}

// checkLeaving checks that a leaving engine receives no new requests after the
// grace period.
func (e *Evidence) checkLeaving() Verdict {
	v := Verdict{Invariant: "a leaving upstream received no new work after the grace period"}
	e.eachExecution(func(l *StandInLog, x *executions.Execution) {
		if x.LeavingForMS == 0 {
			return
		}
		v.Examined++
		if x.LeavingForMS > e.LeavingGraceMS {
			v.addViolation("%s received request %s %d ms after it began to leave", l.Upstream, x.Request, x.LeavingForMS)
		}
	})
	return v
}

// checkFencing checks that engines with fencing accepted no order with an old
// fencing number.
func (e *Evidence) checkFencing() Verdict {
	v := Verdict{Invariant: "a fenced engine accepted no order with an old fencing number"}
	for i := range e.Run.StandIns {
		l := &e.Run.StandIns[i]
		if l.Engine == nil || l.Settings == nil || !l.Settings.Fencing {
			continue
		}
		v.Examined += l.Engine.Orders
		if l.Engine.StaleOrders > 0 {
			v.addViolation("%s accepted %d orders with an old fencing number", l.Upstream, l.Engine.StaleOrders)
		}
	}
	return v
}

// checkBilledOnce checks that each request with a complete response has exactly
// one bill, and that nothing has two.
func (e *Evidence) checkBilledOnce() Verdict {
	v := Verdict{Invariant: "each request is billed once"}
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
		v.Examined++
		id := r.billID()
		switch {
		case e.Bills[id] > 0:
		case possiblyLost[id]:
			v.Tolerated++
		default:
			v.addViolation("request %s (%s) has no bill", id, r.Stream)
		}
	}
	return v
}
