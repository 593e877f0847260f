package engine

import (
	"encoding/json"
	"math/rand/v2"
	"strconv"
	"strings"

	"github.com/cespare/xxhash/v2"

	"github.com/cranberrypier/cranberrypier/internal/wire"
)

// Answer is the complete, deterministic answer of one version to one prompt. It
// depends on nothing else, so any engine that serves the version can resume it.
type Answer struct {
	// Tokens are words with a trailing space, except for the last token: it
	// holds the true quality of the answer for the rating stand-in.
	Tokens []string
	// Quality is the true quality of the answer, from 0 to 1.
	Quality float64
}

// AnswerShape bounds the length and the quality of answers.
type AnswerShape struct {
	MinTokens int
	MaxTokens int
	// QualitySpread is the half width of the variation of the quality between prompts.
	QualitySpread float64
}

var vocabulary = strings.Fields("horn engraving silver rim polish strap oak bronze seal capsule letter vault shelf date family school council river delta crest scroll leaf")

const qualityPrefix = "quality="

// Quality returns the true quality of the answer to a prompt. target is the
// version as "model@version" and mean is its mean quality.
func Quality(target, prompt string, mean, spread float64) float64 {
	const steps = 1 << 20
	u := float64(xxhash.Sum64String("q\x00"+target+"\x00"+prompt)%steps)/steps*2 - 1
	return min(max(mean+u*spread, 0), 1)
}

// NewAnswer returns the answer to a prompt. A positive limit is the maximum
// number of its tokens.
func NewAnswer(target, prompt string, mean float64, s AnswerShape, limit int) Answer {
	seed := xxhash.Sum64String(target + "\x00" + prompt)
	rng := rand.New(rand.NewPCG(seed, seed))
	n := s.MinTokens
	if s.MaxTokens > s.MinTokens {
		n += rng.IntN(s.MaxTokens - s.MinTokens + 1)
	}
	if limit > 0 {
		n = min(n, limit)
	}
	n = max(n, 1)
	a := Answer{Tokens: make([]string, n), Quality: Quality(target, prompt, mean, s.QualitySpread)}
	for i := range n - 1 {
		a.Tokens[i] = vocabulary[rng.IntN(len(vocabulary))] + strconv.Itoa(i+1) + " "
	}
	a.Tokens[n-1] = qualityPrefix + strconv.FormatFloat(a.Quality, 'f', 3, 64)
	return a
}

// Text returns the complete text of the answer.
func (a Answer) Text() string { return strings.Join(a.Tokens, "") }

// ParseQuality parses the quality at the end of a complete answer. It returns false
// if the answer is truncated.
func ParseQuality(text string) (float64, bool) {
	i := strings.LastIndex(text, qualityPrefix)
	if i < 0 {
		return 0, false
	}
	q, err := strconv.ParseFloat(text[i+len(qualityPrefix):], 64)
	return q, err == nil
}

// chatRequest holds the fields of a chat completion request that the engine uses.
type chatRequest struct {
	Model     string        `json:"model"`
	Messages  []chatMessage `json:"messages"`
	Stream    bool          `json:"stream"`
	MaxTokens int           `json:"max_tokens"`
	// MaxCompletionTokens is the newer name of MaxTokens in the API.
	MaxCompletionTokens int `json:"max_completion_tokens"`
}

type chatMessage struct {
	Role    string          `json:"role"`
	Content json.RawMessage `json:"content"`
}

func (c chatRequest) prompt() string {
	texts := make([]string, len(c.Messages))
	for i, m := range c.Messages {
		texts[i] = wire.MessageText(m.Content)
	}
	return JoinMessages(texts...)
}

// JoinMessages joins the texts of messages to the prompt that determines the answer.
func JoinMessages(messages ...string) string {
	var b strings.Builder
	for _, m := range messages {
		b.WriteString(m)
		b.WriteByte('\n')
	}
	return b.String()
}

func (c chatRequest) firstMessage() string {
	if len(c.Messages) == 0 {
		return ""
	}
	return wire.MessageText(c.Messages[0].Content)
}

func (c chatRequest) tokenLimit() int { return max(c.MaxTokens, c.MaxCompletionTokens) }

// EstimatePromptTokens estimates the number of tokens of a prompt at four bytes each.
func EstimatePromptTokens(prompt string) int { return len(prompt)/4 + 1 }
