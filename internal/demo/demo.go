// Package demo sends a few requests of every kind to a running fleet and prints
// a readable summary of each. It demonstrates the fleet and is not a test.
package demo

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/google/uuid"
	"github.com/gravitational/trace"
)

// Keys of the example teams in examples/demo.yaml.
const (
	EngraversKey = "demo-engravers-key"
	ResellersKey = "demo-resellers-key"
)

// requestTimeout is the timeout of one request of the demo.
const requestTimeout = 20 * time.Second

// Demo sends requests to the routers at Targets and writes a summary to Out.
type Demo struct {
	// Targets are base URLs of at least one router.
	Targets []string
	Out     io.Writer
	client  http.Client
}

// step is one request of the demo and the response status that it expects.
type step struct {
	title      string
	target     string
	method     string
	path       string
	key        string
	header     map[string]string
	body       string
	wantStatus int
}

// Run sends all requests in order. It returns an error if a request fails or
// its response does not have the expected status.
func (d *Demo) Run(ctx context.Context) error {
	d.client.Timeout = requestTimeout
	var failed []string
	for _, s := range d.steps() {
		if err := d.send(ctx, s); err != nil {
			fmt.Fprintf(d.Out, "   FAILED: %v\n", err)
			failed = append(failed, s.title)
		}
	}
	if len(failed) > 0 {
		return trace.Errorf("%d requests failed: %s", len(failed), strings.Join(failed, "; "))
	}
	return nil
}

func (d *Demo) steps() []step {
	first := d.Targets[0]
	last := d.Targets[len(d.Targets)-1]
	idempotencyKey := uuid.Must(uuid.NewV7()).String()
	confirm := step{
		title: "A confirmation, which must not run twice", target: first, method: http.MethodPost,
		path: "/v1/services/orders/confirmations", key: EngraversKey,
		header: map[string]string{"Idempotency-Key": idempotencyKey},
		body:   `{"order":"H-204","deposit":120}`, wantStatus: http.StatusOK,
	}
	repeat := confirm
	repeat.title = "The same confirmation with the same key, sent to a VM of another availability zone"
	repeat.target = last
	return []step{
		{
			"A streamed draft", first, http.MethodPost, "/v1/chat/completions", EngraversKey, nil,
			`{"model":"draft-small","stream":true,"messages":[{"role":"user","content":"A pattern of waves for a drinking horn"}]}`, http.StatusOK,
		},
		{
			"A draft through the cascade", last, http.MethodPost, "/v1/chat/completions", EngraversKey, nil,
			`{"model":"auto","messages":[{"role":"user","content":"A catalogue line for a carved horn"}]}`, http.StatusOK,
		},
		{"A stock lookup", first, http.MethodGet, "/v1/services/orders/stock/horn-12", EngraversKey, nil, "", http.StatusOK},
		confirm,
		repeat,
		{
			"A model that the team may not use", first, http.MethodPost, "/v1/chat/completions", ResellersKey, nil,
			`{"model":"draft-large","messages":[{"role":"user","content":"hello"}]}`, http.StatusForbidden,
		},
		{"A service that the team may not call", last, http.MethodGet, "/v1/services/orders/stock/horn-12", ResellersKey, nil, "", http.StatusForbidden},
		{"A key that belongs to no team", first, http.MethodGet, "/v1/models", "nobody", nil, "", http.StatusUnauthorized},
	}
}

func (d *Demo) send(ctx context.Context, s step) error {
	fmt.Fprintf(d.Out, "\n== %s\n   %s %s at %s\n", s.title, s.method, s.path, s.target)
	req, err := http.NewRequestWithContext(ctx, s.method, s.target+s.path, strings.NewReader(s.body))
	if err != nil {
		return trace.Wrap(err)
	}
	req.Header.Set("Authorization", "Bearer "+s.key)
	if s.body != "" {
		req.Header.Set("Content-Type", "application/json")
	}
	for name, value := range s.header {
		req.Header.Set(name, value)
	}
	start := time.Now()
	resp, err := d.client.Do(req)
	if err != nil {
		return trace.Wrap(err)
	}
	defer resp.Body.Close()
	text, err := readResponse(resp)
	if err != nil {
		return trace.Wrap(err)
	}
	fmt.Fprintf(d.Out, "   %s in %s%s\n   %s\n", resp.Status, time.Since(start).Round(time.Millisecond), formatResponseHeaders(resp.Header), text)
	if resp.StatusCode != s.wantStatus {
		return trace.Errorf("got status %d, expected %d", resp.StatusCode, s.wantStatus)
	}
	return nil
}

// formatResponseHeaders formats the response headers that explain how the request
// was handled.
func formatResponseHeaders(h http.Header) string {
	var out strings.Builder
	for _, name := range []string{"Cranberrypier-Model", "Cranberrypier-Replayed", "Retry-After"} {
		if v := h.Get(name); v != "" {
			fmt.Fprintf(&out, ", %s: %s", name, v)
		}
	}
	return out.String()
}

// maxShownBytes is how much of a response's text is shown.
const maxShownBytes = 160

func readResponse(resp *http.Response) (string, error) {
	if strings.HasPrefix(resp.Header.Get("Content-Type"), "text/event-stream") {
		return readStream(resp.Body)
	}
	b, err := io.ReadAll(resp.Body)
	if err != nil {
		return "", trace.Wrap(err)
	}
	return truncate(string(bytes.TrimSpace(b))), nil
}

// readStream joins the tokens of a streamed response. It returns an error if
// the stream ends without its terminator.
func readStream(r io.Reader) (string, error) {
	var text strings.Builder
	tokens := 0
	lines := bufio.NewScanner(r)
	for lines.Scan() {
		data, ok := strings.CutPrefix(lines.Text(), "data: ")
		if !ok {
			continue
		}
		if data == "[DONE]" {
			return fmt.Sprintf("%d tokens, complete: %s", tokens, truncate(text.String())), nil
		}
		var chunk struct {
			Choices []struct {
				Delta struct {
					Content string `json:"content"`
				} `json:"delta"`
			} `json:"choices"`
		}
		if err := json.Unmarshal([]byte(data), &chunk); err != nil {
			return "", trace.Wrap(err)
		}
		for _, c := range chunk.Choices {
			text.WriteString(c.Delta.Content)
		}
		tokens++
	}
	return "", trace.Errorf("the stream was truncated after %d tokens", tokens)
}

func truncate(s string) string {
	if len(s) <= maxShownBytes {
		return s
	}
	return s[:maxShownBytes] + "…"
}
