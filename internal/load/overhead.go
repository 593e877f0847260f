package load

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"time"

	"github.com/gravitational/trace"

	"github.com/cranberrypier/cranberrypier/internal/wire"
)

// Overhead measures the time that a router adds: pairs of one direct and one
// routed request, in alternating order, one at a time.
type Overhead struct {
	// Router is a base URL; Engine an address, IP:port.
	Router string
	Engine string
	// Key is a team's bearer key; Target the "model@version" asked for.
	Key    string
	Target string
	Pairs  int
	// Streamed also measures the time to the first token.
	Streamed bool
}

// OverheadResult holds the two distributions and that of paired differences.
type OverheadResult struct {
	Direct, Routed Quantiles
	// AddedP50 and AddedP99 are differences of the quantiles, in milliseconds.
	AddedP50, AddedP99 float64
}

// warmUpPairs are not measured.
const warmUpPairs = 50

// Run measures.
func (o Overhead) Run(ctx context.Context) (OverheadResult, error) {
	client := &http.Client{Transport: &http.Transport{DisableCompression: true}}
	defer client.CloseIdleConnections()
	direct, routed := newHistogram(), newHistogram()
	body, err := json.Marshal(map[string]any{
		"model": o.Target, "max_tokens": 1, "stream": o.Streamed, "messages": []message{{"user", "hello"}},
	})
	if err != nil {
		return OverheadResult{}, trace.Wrap(err)
	}
	for i := range o.Pairs + warmUpPairs {
		urls := []string{"http://" + o.Engine, o.Router}
		histograms := []histogram{direct, routed}
		if i%2 == 1 {
			urls[0], urls[1] = urls[1], urls[0]
			histograms[0], histograms[1] = histograms[1], histograms[0]
		}
		for j, url := range urls {
			elapsed, err := o.measure(ctx, client, url, body, i)
			if err != nil {
				return OverheadResult{}, err
			}
			if i >= warmUpPairs {
				histograms[j].add(ms(elapsed))
			}
		}
	}
	r := OverheadResult{Direct: direct.quantiles(), Routed: routed.quantiles()}
	r.AddedP50, r.AddedP99 = r.Routed.P50-r.Direct.P50, r.Routed.P99-r.Direct.P99
	return r, nil
}

// once sends one request and reads its whole answer.
func (o Overhead) measure(ctx context.Context, c *http.Client, url string, body []byte, n int) (time.Duration, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, url+"/v1/chat/completions", bytes.NewReader(body))
	if err != nil {
		return 0, trace.Wrap(err)
	}
	req.Header.Set("Authorization", "Bearer "+o.Key)
	req.Header.Set("Content-Type", "application/json")
	req.Header.Set(wire.RequestID, fmt.Sprintf("overhead-%d", n))
	start := time.Now()
	resp, err := c.Do(req)
	if err != nil {
		return 0, trace.Wrap(err)
	}
	defer resp.Body.Close()
	got, err := io.ReadAll(resp.Body)
	took := time.Since(start)
	if err != nil {
		return 0, trace.Wrap(err)
	}
	if resp.StatusCode != http.StatusOK {
		return 0, trace.Errorf("%s: %s: %s", url, resp.Status, got)
	}
	return took, nil
}
