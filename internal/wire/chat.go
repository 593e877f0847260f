package wire

import (
	"bytes"
	"encoding/json"

	"github.com/cespare/xxhash/v2"
)

// maxPrefixBytes is the number of leading bytes of the first message that
// identify a prompt's prefix.
const maxPrefixBytes = 1024

// PrefixHash returns the hash that identifies a prompt's prefix in cache events
// and load reports. It covers the target "model@version" and the first
// maxPrefixBytes bytes of the first message.
func PrefixHash(target, firstMessage string) uint64 {
	if len(firstMessage) > maxPrefixBytes {
		firstMessage = firstMessage[:maxPrefixBytes]
	}
	var d xxhash.Digest
	d.Reset()
	_, _ = d.WriteString(target)
	_, _ = d.Write([]byte{0})
	_, _ = d.WriteString(firstMessage)
	return d.Sum64()
}

// MessageText returns the text of a message's content, which is a string or a
// list of parts. For a list it returns the JSON text.
func MessageText(content json.RawMessage) string {
	var s string
	if json.Unmarshal(content, &s) == nil {
		return s
	}
	return string(content)
}

// FirstMessage returns the text of the first message in a JSON list of chat
// messages, or an empty string if there is none.
func FirstMessage(messages []byte) string {
	dec := json.NewDecoder(bytes.NewReader(messages))
	if t, err := dec.Token(); err != nil || t != json.Delim('[') || !dec.More() {
		return ""
	}
	var m struct {
		Content json.RawMessage `json:"content"`
	}
	if dec.Decode(&m) != nil {
		return ""
	}
	return MessageText(m.Content)
}

// LoadBody is the body of GET /v1/load.
type LoadBody struct {
	Incarnation string       `json:"incarnation"`
	State       string       `json:"state"`
	Running     int          `json:"running"`
	Queued      int          `json:"queued"`
	Loaded      []string     `json:"loaded"`
	Prefixes    []PrefixBody `json:"prefixes"`
	TakenAtMS   int64        `json:"taken_at_ms"`
}

// PrefixBody is one cached prefix in a LoadBody.
type PrefixBody struct {
	Hash  uint64 `json:"hash"`
	AgeMS int64  `json:"age_ms"`
}

// CacheEventsBody is the body of GET /v1/cache-events.
type CacheEventsBody struct {
	Next   uint64           `json:"next"`
	Events []CacheEventBody `json:"events"`
}

// CacheEventBody is one event in a CacheEventsBody.
type CacheEventBody struct {
	Seq   uint64 `json:"seq"`
	Hash  uint64 `json:"hash"`
	Added bool   `json:"added"`
}

// OrderBody is the body of POST /v1/orders, with which an agent tells an engine to
// load or unload a model version or to change its role.
type OrderBody struct {
	// Op is "load", "unload" or "role".
	Op      string `json:"op"`
	Version string `json:"version,omitempty"`
	Adapter string `json:"adapter,omitempty"`
	Role    string `json:"role,omitempty"`
	// Fence is the order's fencing token.
	Fence uint64 `json:"fence"`
}

// RatingBody is the body of POST /v1/ratings.
type RatingBody struct {
	RequestID  string `json:"request_id"`
	Team       string `json:"team"`
	Class      string `json:"class"`
	Model      string `json:"model"`
	Version    string `json:"version"`
	PromptHash string `json:"prompt_hash"`
	Answer     string `json:"answer"`
}

// RatingAnswer is the response to a RatingBody. Rating is from 0 to 1.
type RatingAnswer struct {
	Rating float64 `json:"rating"`
}
