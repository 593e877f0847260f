package router

import (
	"bytes"
	"encoding/json"
	"maps"

	"github.com/cranberrypier/cranberrypier/internal/result"
	"github.com/cranberrypier/cranberrypier/internal/wire"
)

const (
	// bytesPerToken estimates prompt tokens from the bytes of a prompt.
	bytesPerToken = 4
	// defaultMaxTokens is assumed when a request names no limit.
	defaultMaxTokens = 256
	// autoModel is the model name that asks for the class's cascade.
	autoModel = "auto"
)

// chatRequest is a parsed chat-completions request. Fields that the router
// does not know are passed on untouched.
type chatRequest struct {
	model     string
	stream    bool
	usage     bool
	maxTokens int
	messages  json.RawMessage
	// first is the text of the first message.
	firstMessage string
	fields       map[string]json.RawMessage
}

// knownFields are the fields that the router reads.
type knownFields struct {
	Model               string          `json:"model"`
	Stream              bool            `json:"stream"`
	MaxTokens           int             `json:"max_tokens"`
	MaxCompletionTokens int             `json:"max_completion_tokens"`
	Messages            json.RawMessage `json:"messages"`
	N                   *int            `json:"n"`
	StreamOptions       struct {
		IncludeUsage bool `json:"include_usage"`
	} `json:"stream_options"`
}

// parseChat parses a request body. Errors carry BadRequest.
func parseChat(body []byte) (*chatRequest, error) {
	var known knownFields
	if err := json.Unmarshal(body, &known); err != nil {
		return nil, result.New(result.BadRequest, "the body is no chat-completions request: %v", err)
	}
	var fields map[string]json.RawMessage
	if err := json.Unmarshal(body, &fields); err != nil {
		return nil, result.New(result.BadRequest, "the body is no JSON object: %v", err)
	}
	if err := known.check(); err != nil {
		return nil, err
	}
	c := &chatRequest{
		model:        known.Model,
		stream:       known.Stream,
		usage:        known.StreamOptions.IncludeUsage,
		maxTokens:    max(known.MaxTokens, known.MaxCompletionTokens),
		messages:     known.Messages,
		firstMessage: wire.FirstMessage(known.Messages),
		fields:       fields,
	}
	if c.maxTokens == 0 {
		c.maxTokens = defaultMaxTokens
	}
	return c, nil
}

func (k *knownFields) check() error {
	if k.Model == "" {
		return result.New(result.BadRequest, "the field model is missing")
	}
	if m := bytes.TrimSpace(k.Messages); len(m) < 3 || m[0] != '[' {
		return result.New(result.BadRequest, "the field messages has to be a list with at least one message")
	}
	if k.MaxTokens < 0 || k.MaxCompletionTokens < 0 {
		return result.New(result.BadRequest, "the limit of tokens may not be negative")
	}
	if k.N != nil && *k.N != 1 {
		return result.New(result.BadRequest, "only n = 1 is served")
	}
	return nil
}

// bodyFor returns the body for an engine: the target's model name, streamed.
func (c *chatRequest) bodyFor(target string) ([]byte, error) {
	name, err := json.Marshal(target)
	if err != nil {
		return nil, result.New(result.Internal, "the target can't be encoded: %v", err)
	}
	fields := maps.Clone(c.fields)
	fields["model"] = name
	fields["stream"] = json.RawMessage("true")
	delete(fields, "stream_options")
	b, err := json.Marshal(fields)
	if err != nil {
		return nil, result.New(result.Internal, "the request can't be encoded: %v", err)
	}
	return b, nil
}

// promptTokens estimates the size of the prompt.
func (c *chatRequest) promptTokens() int {
	return len(c.messages) / bytesPerToken
}

// prefixHash identifies the prompt's prefix at engines of the target.
func (c *chatRequest) prefixHash(target string) uint64 {
	return wire.PrefixHash(target, c.firstMessage)
}
