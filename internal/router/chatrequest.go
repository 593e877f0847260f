package router

import (
	"bytes"
	"encoding/json"
	"maps"

	"github.com/cranberrypier/cranberrypier/internal/result"
	"github.com/cranberrypier/cranberrypier/internal/wire"
)

const (
	// bytesPerToken is the assumed number of bytes per token of a prompt.
	bytesPerToken = 4
	// defaultMaxTokens is the limit of a request that sets none.
	defaultMaxTokens = 256
	// autoModel is the model name that selects the cascade of the request class.
	autoModel = "auto"
)

// chatRequest is a parsed chat-completions request. Fields that the router does
// not use are forwarded unchanged.
type chatRequest struct {
	model     string
	stream    bool
	usage     bool
	maxTokens int
	messages  json.RawMessage
	// firstMessage is the text of the first message.
	firstMessage string
	fields       map[string]json.RawMessage
}

// knownFields holds the fields that the router reads.
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

// parseChat parses a request body. Errors have the code BadRequest.
func parseChat(body []byte) (*chatRequest, error) {
	var known knownFields
	if err := json.Unmarshal(body, &known); err != nil {
		return nil, result.New(result.BadRequest, "the body is not a chat-completions request: %v", err)
	}
	var fields map[string]json.RawMessage
	if err := json.Unmarshal(body, &fields); err != nil {
		return nil, result.New(result.BadRequest, "the body is not a JSON object: %v", err)
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
		return result.New(result.BadRequest, "the field messages must be a list with at least one message")
	}
	if k.MaxTokens < 0 || k.MaxCompletionTokens < 0 {
		return result.New(result.BadRequest, "max_tokens and max_completion_tokens must not be negative")
	}
	if k.N != nil && *k.N != 1 {
		return result.New(result.BadRequest, "only n = 1 is supported")
	}
	return nil
}

// bodyFor returns the body that is sent to an engine: the model is the target and
// the answer is streamed.
func (c *chatRequest) bodyFor(target string) ([]byte, error) {
	name, err := json.Marshal(target)
	if err != nil {
		return nil, result.New(result.Internal, "the target cannot be encoded: %v", err)
	}
	fields := maps.Clone(c.fields)
	fields["model"] = name
	fields["stream"] = json.RawMessage("true")
	delete(fields, "stream_options")
	b, err := json.Marshal(fields)
	if err != nil {
		return nil, result.New(result.Internal, "the request cannot be encoded: %v", err)
	}
	return b, nil
}

// promptTokens estimates the number of tokens of the prompt.
func (c *chatRequest) promptTokens() int {
	return len(c.messages) / bytesPerToken
}

// prefixHash returns the hash under which engines that serve the target cache the
// prompt's prefix.
func (c *chatRequest) prefixHash(target string) uint64 {
	return wire.PrefixHash(target, c.firstMessage)
}
