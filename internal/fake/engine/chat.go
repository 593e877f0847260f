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

	"github.com/cranberrypier/cranberrypier/internal/ctxwait"
	"github.com/cranberrypier/cranberrypier/internal/fake/executions"
	"github.com/cranberrypier/cranberrypier/internal/fake/faults"
	"github.com/cranberrypier/cranberrypier/internal/wire"
)

// job is one chat completion request in progress.
type job struct {
	engine       *Engine
	w            http.ResponseWriter
	ctx          context.Context
	requestID    string
	call         string
	body         chatRequest
	prompt       string
	resumeAfter  uint64
	run          *run
	arrival      arrival
	executionSeq int
	badVersion   faults.BadVersion
	isBadVersion bool
}

func (e *Engine) chat(w http.ResponseWriter, r *http.Request) {
	j := &job{engine: e, w: w, requestID: r.Header.Get(wire.HeaderRequestID), call: r.Method + " " + r.URL.Path}
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxBodyBytes)).Decode(&j.body); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	j.prompt = j.body.prompt()
	j.resumeAfter, _ = strconv.ParseUint(r.Header.Get(wire.HeaderLastEventID), 10, 64)
	priority, _ := strconv.Atoi(r.Header.Get(wire.HeaderPriority))
	ctx, cancel := context.WithCancelCause(r.Context())
	defer cancel(nil)
	if ms, err := strconv.Atoi(r.Header.Get(wire.HeaderTimeoutMS)); err == nil && ms > 0 {
		t := time.AfterFunc(time.Duration(ms)*time.Millisecond, func() { cancel(errRunTimeout) })
		defer t.Stop()
	}
	j.ctx = ctx
	j.run = &run{priority: priority, started: make(chan struct{}), cancel: cancel}
	j.arrival = e.state.admit(j.run, j.body.Model, time.Now())
	defer func() { e.state.finish(j.run, time.Now()) }()
	j.executionSeq = e.Server.Log.Start(executions.Execution{
		Request: j.requestID, ClaimKey: r.Header.Get(wire.HeaderClaimKey), Target: j.body.Model, VM: r.Header.Get(wire.HeaderSenderVM),
		Incarnation: j.arrival.incarnation, Ran: j.arrival.rejection == "", Concurrent: j.arrival.concurrent,
		Cold: j.arrival.cold, ColdForMS: j.arrival.coldFor.Milliseconds(),
		LeavingForMS: j.arrival.leavingFor.Milliseconds(), Priority: priority, ResumedAfter: j.resumeAfter,
	})
	j.badVersion, j.isBadVersion = e.Server.Switches.Get().BadVersions[j.body.Model]
	j.process()
}

// process runs the job until it has ended.
func (j *job) process() {
	if j.arrival.rejection != "" {
		j.recordEnd(executions.Rejected, 0)
		j.reject(string(j.arrival.rejection))
		return
	}
	if j.arrival.causesCrash {
		j.recordEnd(executions.Crashed, 0)
		j.engine.crash(j.arrival.incarnation)
		panic(http.ErrAbortHandler)
	}
	select {
	case <-j.run.started:
	case <-j.ctx.Done():
		j.abort(0)
		return
	}
	j.prefill()
	if p := j.engine.Server.Switches.Get().CrashOn; p != "" && strings.Contains(j.prompt, p) {
		j.recordEnd(executions.Crashed, 0)
		j.engine.crash(j.arrival.incarnation)
		panic(http.ErrAbortHandler)
	}
	if j.ctx.Err() != nil {
		j.abort(0)
		return
	}
	if j.shouldFail() {
		j.recordEnd(executions.Failed, 0)
		j.setHeaders(j.requestID)
		http.Error(j.w, "the version failed", http.StatusInternalServerError)
		return
	}
	j.sendAnswer()
}

// sendAnswer sends the answer, or with the Crossed fault the answer to another
// request.
func (j *job) sendAnswer() {
	mean := j.engine.settings.versionSettings(j.body.Model).Quality
	if j.isBadVersion {
		mean = j.badVersion.Quality
	}
	shape := AnswerShape{j.engine.settings.MinTokens, j.engine.settings.MaxTokens, j.engine.settings.QualitySpread}
	a := NewAnswer(j.body.Model, j.prompt, mean, shape, j.body.tokenLimit())
	id := j.requestID
	previous := j.engine.swapLastAnswer(requestAnswer{j.requestID, a})
	if j.engine.Server.Switches.Select(faults.Crossed, j.call) != nil {
		id, a = previous.requestID, previous.answer
		if id == "" || id == j.requestID {
			id = "crossed-" + j.requestID
		}
	}
	j.setHeaders(id)
	if j.body.Stream {
		j.streamAnswer(id, a)
		return
	}
	j.sendCompleteAnswer(id, a)
}

// prefill waits for the processing time of the prompt.
func (j *job) prefill() {
	hit := j.engine.state.touchPrefix(wire.PrefixHash(j.body.Model, j.body.firstMessage()), time.Now())
	d := time.Duration(EstimatePromptTokens(j.prompt)) * j.engine.settings.PrefillPerToken.D()
	if hit {
		d = time.Duration(float64(d) * cachedPrefillShare)
	}
	if j.isBadVersion {
		d += time.Duration(j.badVersion.DelayMS) * time.Millisecond
	}
	if rule := j.engine.Server.Switches.Select(faults.Late, j.call); rule != nil {
		d += rule.Delay()
	}
	ctxwait.For(j.ctx, d)
}

// shouldFail reports whether the BadVersions fault fails this request. The
// decision depends only on the id of the request.
func (j *job) shouldFail() bool {
	const steps = 1 << 20
	return j.isBadVersion && float64(xxhash.Sum64String(j.requestID)%steps)/steps < j.badVersion.ErrorRate
}

func (j *job) setHeaders(id string) {
	h := j.w.Header()
	h.Set(wire.HeaderRequestID, id)
	h.Set(wire.HeaderIncarnation, j.arrival.incarnation)
	h.Set(wire.HeaderEngineState, j.arrival.state)
}

// reject rejects the request and marks it as not run.
func (j *job) reject(reason string) {
	j.setHeaders(j.requestID)
	j.w.Header().Set(wire.HeaderNotRun, "true")
	http.Error(j.w, reason, http.StatusServiceUnavailable)
}

// recordEnd records the outcome of the execution.
func (j *job) recordEnd(o executions.Outcome, tokens int) {
	j.engine.Server.Log.End(j.executionSeq, o, tokens)
}

// abort records why the context of the job was canceled, then breaks the
// connection. It does not return.
func (j *job) abort(tokens int) {
	o := executions.Canceled
	switch cause := context.Cause(j.ctx); {
	case errors.Is(cause, errEngineCrashed):
		o = executions.Crashed
	case errors.Is(cause, errRunTimeout):
		o = executions.TimedOut
	}
	j.recordEnd(o, tokens)
	j.engine.state.finish(j.run, time.Now())
	panic(http.ErrAbortHandler)
}

func (s Settings) versionSettings(name string) VersionSettings {
	for _, v := range s.Versions {
		if v.Name == name {
			return v
		}
	}
	return VersionSettings{}
}
