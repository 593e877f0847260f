package engine

import (
	"context"
	"encoding/json"
	"errors"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/cranberrypier/cranberrypier/internal/fake/executions"
	"github.com/cranberrypier/cranberrypier/internal/fake/faults"
	"github.com/cranberrypier/cranberrypier/internal/pause"
	"github.com/cranberrypier/cranberrypier/internal/wire"
)

// job is one chat completion in progress.
type job struct {
	e       *Engine
	w       http.ResponseWriter
	ctx     context.Context
	request string
	call    string
	body    chatRequest
	prompt  string
	resume  uint64
	run     *run
	arrival arrival
	seq     int
	bad     faults.BadVersion
	isBad   bool
}

func (e *Engine) chat(w http.ResponseWriter, r *http.Request) {
	j := &job{e: e, w: w, request: r.Header.Get(wire.HeaderRequestID), call: r.Method + " " + r.URL.Path}
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxBody)).Decode(&j.body); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	j.prompt = j.body.prompt()
	j.resume, _ = strconv.ParseUint(r.Header.Get(wire.HeaderLastEventID), 10, 64)
	priority, _ := strconv.Atoi(r.Header.Get(wire.HeaderPriority))
	ctx, cancel := context.WithCancelCause(r.Context())
	defer cancel(nil)
	if ms, err := strconv.Atoi(r.Header.Get(wire.HeaderTimeoutMS)); err == nil && ms > 0 {
		t := time.AfterFunc(time.Duration(ms)*time.Millisecond, func() { cancel(errTimeout) })
		defer t.Stop()
	}
	j.ctx = ctx
	j.run = &run{priority: priority, started: make(chan struct{}), cancel: cancel}
	j.arrival = e.state.arrive(j.run, j.body.Model, time.Now())
	defer func() { e.state.leave(j.run, time.Now()) }()
	j.seq = e.Server.Log.Start(executions.Execution{
		Request: j.request, ClaimKey: r.Header.Get(wire.HeaderClaimKey), Target: j.body.Model, VM: r.Header.Get(wire.HeaderSenderVM),
		Incarnation: j.arrival.incarnation, Ran: j.arrival.refused == "", Concurrent: j.arrival.concurrent,
		Cold: j.arrival.cold, ColdForMS: j.arrival.coldFor.Milliseconds(),
		LeavingForMS: j.arrival.leavingFor.Milliseconds(), Priority: priority, ResumedAfter: j.resume,
	})
	j.bad, j.isBad = e.Server.Switches.Get().BadVersions[j.body.Model]
	j.work()
}

// work runs the job to its end.
func (j *job) work() {
	if j.arrival.refused != "" {
		j.end(executions.Refused, 0)
		j.refuse(string(j.arrival.refused))
		return
	}
	if j.arrival.fellOver {
		j.end(executions.Crashed, 0)
		j.e.crash(j.arrival.incarnation)
		panic(http.ErrAbortHandler)
	}
	select {
	case <-j.run.started:
	case <-j.ctx.Done():
		j.stop(0)
		return
	}
	j.prefill()
	if p := j.e.Server.Switches.Get().CrashOn; p != "" && strings.Contains(j.prompt, p) {
		j.end(executions.Crashed, 0)
		j.e.crash(j.arrival.incarnation)
		panic(http.ErrAbortHandler)
	}
	if j.ctx.Err() != nil {
		j.stop(0)
		return
	}
	if j.fails() {
		j.end(executions.Failed, 0)
		j.headers(j.request)
		http.Error(j.w, "the version failed", http.StatusInternalServerError)
		return
	}
	j.answer()
}

// answer sends the answer, or another request's when a switch says so.
func (j *job) answer() {
	mean := j.e.set.version(j.body.Model).Quality
	if j.isBad {
		mean = j.bad.Quality
	}
	shape := AnswerShape{j.e.set.MinTokens, j.e.set.MaxTokens, j.e.set.QualitySpread}
	a := NewAnswer(j.body.Model, j.prompt, mean, shape, j.body.limit())
	id := j.request
	other := j.e.swapLast(crossed{j.request, a})
	if j.e.Server.Switches.Select(faults.Crossed, j.call) != nil {
		id, a = other.request, other.answer
		if id == "" || id == j.request {
			id = "crossed-" + j.request
		}
	}
	j.headers(id)
	if j.body.Stream {
		j.stream(id, a)
		return
	}
	j.whole(id, a)
}

// prefill waits for the time that the prompt takes.
func (j *job) prefill() {
	hit := j.e.state.prefix(wire.PrefixHash(j.body.Model, j.body.firstMessage()), time.Now())
	d := time.Duration(EstimatePromptTokens(j.prompt)) * j.e.set.PrefillPerToken.D()
	if hit {
		d = time.Duration(float64(d) * cachedShare)
	}
	if j.isBad {
		d += time.Duration(j.bad.DelayMS) * time.Millisecond
	}
	if rule := j.e.Server.Switches.Select(faults.Late, j.call); rule != nil {
		d += rule.Delay()
	}
	pause.For(j.ctx, d)
}

// fails decides by the request's id whether a bad version fails it.
func (j *job) fails() bool {
	const steps = 1 << 20
	return j.isBad && float64(xxhash.Sum64String(j.request)%steps)/steps < j.bad.ErrorRate
}

func (j *job) headers(id string) {
	h := j.w.Header()
	h.Set(wire.HeaderRequestID, id)
	h.Set(wire.HeaderIncarnation, j.arrival.incarnation)
	h.Set(wire.HeaderEngineState, j.arrival.state)
}

// refuse answers that nothing was run.
func (j *job) refuse(why string) {
	j.headers(j.request)
	j.w.Header().Set(wire.HeaderNotRun, "true")
	http.Error(j.w, why, http.StatusServiceUnavailable)
}

// end notes the outcome of the execution.
func (j *job) end(o executions.Outcome, tokens int) { j.e.Server.Log.End(j.seq, o, tokens) }

// stop ends a job whose context ended.
func (j *job) stop(tokens int) {
	o := executions.Canceled
	switch cause := context.Cause(j.ctx); {
	case errors.Is(cause, errCrash):
		o = executions.Crashed
	case errors.Is(cause, errTimeout):
		o = executions.TimedOut
	}
	j.end(o, tokens)
	j.e.state.leave(j.run, time.Now())
	panic(http.ErrAbortHandler)
}

func (s Settings) version(name string) VersionSettings {
	for _, v := range s.Versions {
		if v.Name == name {
			return v
		}
	}
	return VersionSettings{}
}
