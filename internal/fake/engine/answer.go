package engine

import (
	"encoding/json"
	"math/rand/v2"
	"strconv"
	"strings"

	"github.com/cespare/xxhash/v2"

	"github.com/cranberrypier/cranberrypier/internal/wire"
)

// Answer is the whole deterministic answer of one version to one prompt. It
// depends on nothing else, so that any engine of the version resumes it.
type Answer struct {
	// Tokens are the words, each with a trailing space. The last one states
	// the answer's true quality, which the rating stand-in reads.
	Tokens []string
	// Quality is from 0 to 1.
	Quality float64
}

// Shape bounds answers.
type AnswerShape struct {
	MinTokens int
	MaxTokens int
	// Spread is the half width of the quality's variation between prompts.
	QualitySpread float64
}

var words = strings.Fields("horn engraving silver rim polish strap oak bronze seal capsule letter vault shelf date family school council river delta crest scroll leaf")

const qualityMark = "quality="

// Quality returns the true quality of a version's answer to a prompt, given
// the version's mean quality.
func Quality(target, prompt string, mean, spread float64) float64 {
	const steps = 1 << 20
	u := float64(xxhash.Sum64String("q\x00"+target+"\x00"+prompt)%steps)/steps*2 - 1
	return min(max(mean+u*spread, 0), 1)
}

// NewAnswer returns the answer to a prompt, at most limit tokens long when
// limit is positive.
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
		a.Tokens[i] = words[rng.IntN(len(words))] + strconv.Itoa(i+1) + " "
	}
	a.Tokens[n-1] = qualityMark + strconv.FormatFloat(a.Quality, 'f', 3, 64)
	return a
}

// Text returns the whole answer.
func (a Answer) Text() string { return strings.Join(a.Tokens, "") }

// QualityOf reads the quality out of a whole answer; false if the answer is
// not whole.
func ParseQuality(text string) (float64, bool) {
	i := strings.LastIndex(text, qualityMark)
	if i < 0 {
		return 0, false
	}
	q, err := strconv.ParseFloat(text[i+len(qualityMark):], 64)
	return q, err == nil
}

// chatRequest is what the engine reads of a chat completion request.
type chatRequest struct {
	Model     string        `json:"model"`
	Messages  []chatMessage `json:"messages"`
	Stream    bool          `json:"stream"`
	MaxTokens int           `json:"max_tokens"`
	// MaxCompletionTokens is the newer name of MaxTokens.
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

// Prompt joins the texts of messages to what an answer depends on.
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

func (c chatRequest) limit() int { return max(c.MaxTokens, c.MaxCompletionTokens) }

// PromptTokens estimates a prompt's length, in tokens of four bytes.
func EstimatePromptTokens(prompt string) int { return len(prompt)/4 + 1 }
