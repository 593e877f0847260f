package engine

import (
	"net/http"
	"strconv"
	"time"

	"github.com/cranberrypier/cranberrypier/internal/ctxwait"
	"github.com/cranberrypier/cranberrypier/internal/fake/executions"
	"github.com/cranberrypier/cranberrypier/internal/fake/faults"
	"github.com/cranberrypier/cranberrypier/internal/wire"
)

// unpacedFlushEvents is the number of events per flush when the engine has no
// token delay.
const unpacedFlushEvents = 32

// streamAnswer sends the tokens after resumeAfter as server-sent events.
func (j *job) streamAnswer(id string, a Answer) {
	j.w.Header().Set("Content-Type", wire.ContentTypeEventStream)
	silentRule := j.engine.Server.Switches.Select(faults.Silent, j.call)
	cutRule := j.engine.Server.Switches.Select(faults.Cut, j.call)
	lostAnswerRule := j.engine.Server.Switches.Select(faults.LostAnswer, j.call)
	controller := http.NewResponseController(j.w)
	j.w.WriteHeader(http.StatusOK)
	_ = controller.Flush()
	sent := 0
	nextTokenAt := time.Now()
	buf := make([]byte, 0, 512)
	for i := min(j.resumeAfter, uint64(len(a.Tokens))); i < uint64(len(a.Tokens)); i++ {
		if silentRule != nil && sent >= silentRule.After {
			j.stall(sent, controller)
		}
		if cutRule != nil && sent >= cutRule.After {
			_ = controller.Flush()
			j.recordEnd(executions.Cut, sent)
			panic(http.ErrAbortHandler)
		}
		interval := j.engine.state.tokenInterval(j.body.Model, time.Now())
		nextTokenAt = nextTokenAt.Add(interval)
		ctxwait.For(j.ctx, time.Until(nextTokenAt))
		if j.ctx.Err() != nil {
			j.abort(sent)
		}
		last := i+1 == uint64(len(a.Tokens))
		buf = appendEvent(buf[:0], i+1, id, j.body.Model, a.Tokens[i], last)
		if _, err := j.w.Write(buf); err != nil {
			j.recordEnd(executions.Canceled, sent)
			panic(http.ErrAbortHandler)
		}
		sent++
		if interval > 0 || sent%unpacedFlushEvents == 0 {
			_ = controller.Flush()
		}
	}
	if lostAnswerRule != nil {
		j.recordEnd(executions.LostAnswer, sent)
		panic(http.ErrAbortHandler)
	}
	j.recordEnd(j.outcome(id), sent)
	_, _ = j.w.Write([]byte("data: [DONE]\n\n"))
}

// stall ends the run but keeps the connection open, without sending a byte,
// until the client closes it or the timeout of the run expires.
func (j *job) stall(sent int, controller *http.ResponseController) {
	j.recordEnd(executions.Silent, sent)
	_ = controller.Flush()
	j.engine.state.finish(j.run, time.Now())
	<-j.ctx.Done()
	panic(http.ErrAbortHandler)
}

// outcome returns Crossed if the answer belongs to another request, else Done.
func (j *job) outcome(id string) executions.Outcome {
	if id != j.requestID {
		return executions.Crossed
	}
	return executions.Done
}

// sendCompleteAnswer waits for the generation time of all tokens and sends the
// answer as one JSON body.
func (j *job) sendCompleteAnswer(id string, a Answer) {
	for range a.Tokens {
		ctxwait.For(j.ctx, j.engine.state.tokenInterval(j.body.Model, time.Now()))
		if j.ctx.Err() != nil {
			j.abort(0)
		}
	}
	if j.engine.Server.Switches.Select(faults.LostAnswer, j.call) != nil {
		j.recordEnd(executions.LostAnswer, len(a.Tokens))
		panic(http.ErrAbortHandler)
	}
	if j.engine.Server.Switches.Select(faults.Silent, j.call) != nil {
		j.stall(len(a.Tokens), http.NewResponseController(j.w))
	}
	j.recordEnd(j.outcome(id), len(a.Tokens))
	prompt := EstimatePromptTokens(j.prompt)
	faults.WriteJSON(j.w, http.StatusOK, completion{
		ID: "chatcmpl-" + id, Object: "chat.completion", Model: j.body.Model,
		Choices: []choice{{Message: message{Role: "assistant", Content: a.Text()}, FinishReason: "stop"}},
		Usage:   usage{prompt, len(a.Tokens), prompt + len(a.Tokens)},
	})
}

// completion is the body of a chat completion that is not streamed.
type completion struct {
	ID      string   `json:"id"`
	Object  string   `json:"object"`
	Created int64    `json:"created"`
	Model   string   `json:"model"`
	Choices []choice `json:"choices"`
	Usage   usage    `json:"usage"`
}

type choice struct {
	Index        int     `json:"index"`
	Message      message `json:"message"`
	FinishReason string  `json:"finish_reason"`
}

type message struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

type usage struct {
	PromptTokens     int `json:"prompt_tokens"`
	CompletionTokens int `json:"completion_tokens"`
	TotalTokens      int `json:"total_tokens"`
}

// appendEvent appends one server-sent event with a chunk of one token. Tokens
// contain no characters that JSON escapes.
func appendEvent(b []byte, n uint64, id, model, token string, last bool) []byte {
	b = append(b, "id: "...)
	b = strconv.AppendUint(b, n, 10)
	b = append(b, "\ndata: {\"id\":"...)
	b = strconv.AppendQuote(b, "chatcmpl-"+id)
	b = append(b, `,"object":"chat.completion.chunk","created":0,"model":`...)
	b = strconv.AppendQuote(b, model)
	b = append(b, `,"choices":[{"index":0,"delta":{"role":"assistant","content":"`...)
	b = append(b, token...)
	b = append(b, `"},"finish_reason":`...)
	if last {
		b = append(b, `"stop"`...)
	} else {
		b = append(b, "null"...)
	}
	return append(b, "}]}\n\n"...)
}
