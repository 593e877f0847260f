package router

import (
	"encoding/json"
	"strings"
	"time"

	"github.com/cranberrypier/cranberrypier/internal/result"
)

// maxAnswerBytes limits the text of an answer that is collected in memory.
const maxAnswerBytes = 4 << 20

// chunk holds the fields of a streamed chunk that a collected answer needs.
type chunk struct {
	ID      string `json:"id"`
	Created int64  `json:"created"`
	Model   string `json:"model"`
	Choices []struct {
		Delta struct {
			Content string `json:"content"`
		} `json:"delta"`
		FinishReason *string `json:"finish_reason"`
	} `json:"choices"`
}

// completion is the response body of a request that is not streamed.
type completion struct {
	ID      string             `json:"id"`
	Object  string             `json:"object"`
	Created int64              `json:"created"`
	Model   string             `json:"model"`
	Choices []completionChoice `json:"choices"`
	Usage   completionUsage    `json:"usage"`
}

type completionChoice struct {
	Index        int               `json:"index"`
	Message      completionMessage `json:"message"`
	FinishReason string            `json:"finish_reason"`
}

type completionMessage struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

type completionUsage struct {
	PromptTokens     int `json:"prompt_tokens"`
	CompletionTokens int `json:"completion_tokens"`
	TotalTokens      int `json:"total_tokens"`
}

// collector combines the events of one step into one answer. Each event holds one
// chunk, which counts as one token.
type collector struct {
	id           string
	model        string
	created      int64
	finishReason string
	text         strings.Builder
	tokens       int
	err          error
}

// Event adds one chunk. An error ends the run because the answer is unusable.
func (c *collector) Event(_ uint64, data []byte) error {
	var k chunk
	if err := json.Unmarshal(data, &k); err != nil {
		c.err = result.New(result.AnswerMismatch, "a chunk cannot be decoded: %v", err).WithRun(result.Ran)
		return c.err
	}
	c.id, c.model, c.created = k.ID, k.Model, k.Created
	for _, choice := range k.Choices {
		c.text.WriteString(choice.Delta.Content)
		if choice.FinishReason != nil {
			c.finishReason = *choice.FinishReason
		}
	}
	c.tokens++
	if c.text.Len() > maxAnswerBytes {
		c.err = result.New(result.AnswerTooLarge, "the answer is larger than %d bytes", maxAnswerBytes)
		return c.err
	}
	return nil
}

// completion returns the collected answer as a response body.
func (c *collector) completion(promptTokens int) completion {
	created := c.created
	if created == 0 {
		created = time.Now().Unix()
	}
	return completion{
		ID:      c.id,
		Object:  "chat.completion",
		Created: created,
		Model:   c.model,
		Choices: []completionChoice{{
			Message:      completionMessage{Role: "assistant", Content: c.text.String()},
			FinishReason: c.finishReason,
		}},
		Usage: completionUsage{
			PromptTokens:     promptTokens,
			CompletionTokens: c.tokens,
			TotalTokens:      promptTokens + c.tokens,
		},
	}
}
