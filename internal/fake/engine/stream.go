package engine

import (
	"net/http"
	"strconv"
	"time"

	"github.com/cranberrypier/cranberrypier/internal/fake/executions"
	"github.com/cranberrypier/cranberrypier/internal/fake/faults"
	"github.com/cranberrypier/cranberrypier/internal/pause"
	"github.com/cranberrypier/cranberrypier/internal/wire"
)

// unpacedFlush is how many events of an engine without token delay go out
// together.
const unpacedFlush = 32

// stream sends the answer's tokens after the resume point as events.
func (j *job) stream(id string, a Answer) {
	j.w.Header().Set("Content-Type", wire.ContentTypeEventStream)
	silent := j.e.Server.Switches.Select(faults.Silent, j.call)
	cut := j.e.Server.Switches.Select(faults.Cut, j.call)
	lost := j.e.Server.Switches.Select(faults.LostAnswer, j.call)
	out := http.NewResponseController(j.w)
	j.w.WriteHeader(http.StatusOK)
	_ = out.Flush()
	sent := 0
	next := time.Now()
	buf := make([]byte, 0, 512)
	for i := min(j.resume, uint64(len(a.Tokens))); i < uint64(len(a.Tokens)); i++ {
		if silent != nil && sent >= silent.After {
			j.goSilent(sent, out)
		}
		if cut != nil && sent >= cut.After {
			_ = out.Flush()
			j.end(executions.Cut, sent)
			panic(http.ErrAbortHandler)
		}
		pace := j.e.state.pace(j.body.Model, time.Now())
		next = next.Add(pace)
		pause.For(j.ctx, time.Until(next))
		if j.ctx.Err() != nil {
			j.stop(sent)
		}
		last := i+1 == uint64(len(a.Tokens))
		buf = appendEvent(buf[:0], i+1, id, j.body.Model, a.Tokens[i], last)
		if _, err := j.w.Write(buf); err != nil {
			j.end(executions.Canceled, sent)
			panic(http.ErrAbortHandler)
		}
		sent++
		if pace > 0 || sent%unpacedFlush == 0 {
			_ = out.Flush()
		}
	}
	if lost != nil {
		j.end(executions.LostAnswer, sent)
		panic(http.ErrAbortHandler)
	}
	j.end(j.outcome(id), sent)
	_, _ = j.w.Write([]byte("data: [DONE]\n\n"))
}

// goSilent ends the run but keeps the connection open without a byte until
// the caller gives up.
func (j *job) goSilent(sent int, out *http.ResponseController) {
	j.end(executions.Silent, sent)
	_ = out.Flush()
	j.e.state.leave(j.run, time.Now())
	<-j.ctx.Done()
	panic(http.ErrAbortHandler)
}

// outcome tells crossed answers from whole ones.
func (j *job) outcome(id string) executions.Outcome {
	if id != j.request {
		return executions.Crossed
	}
	return executions.Done
}

// whole sends the answer in one piece after the time that its tokens take.
func (j *job) whole(id string, a Answer) {
	for range a.Tokens {
		pause.For(j.ctx, j.e.state.pace(j.body.Model, time.Now()))
		if j.ctx.Err() != nil {
			j.stop(0)
		}
	}
	if j.e.Server.Switches.Select(faults.LostAnswer, j.call) != nil {
		j.end(executions.LostAnswer, len(a.Tokens))
		panic(http.ErrAbortHandler)
	}
	if j.e.Server.Switches.Select(faults.Silent, j.call) != nil {
		j.goSilent(len(a.Tokens), http.NewResponseController(j.w))
	}
	j.end(j.outcome(id), len(a.Tokens))
	prompt := EstimatePromptTokens(j.prompt)
	faults.WriteJSON(j.w, http.StatusOK, completion{
		ID: "chatcmpl-" + id, Object: "chat.completion", Model: j.body.Model,
		Choices: []choice{{Message: message{Role: "assistant", Content: a.Text()}, FinishReason: "stop"}},
		Usage:   usage{prompt, len(a.Tokens), prompt + len(a.Tokens)},
	})
}

// completion is a whole chat completion.
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
// need no JSON escapes.
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
