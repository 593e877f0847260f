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

// Overhead measures the latency that a router adds. It sends pairs of one
// request directly to the engine and one through the router, sequentially and
// in alternating order.
type Overhead struct {
	// Router is a base URL. Engine is an address, IP:port.
	Router string
	Engine string
	// Key is a team's bearer key. Target is the requested "model@version".
	Key    string
	Target string
	Pairs  int
	// Streamed requests streamed responses.
	Streamed bool
}

// OverheadResult holds the latency distributions and their differences.
type OverheadResult struct {
	Direct, Routed Quantiles
	// AddedP50 and AddedP99 are the quantile of Routed minus that of Direct, in
	// milliseconds.
	AddedP50, AddedP99 float64
}

// warmUpPairs is the number of pairs that are sent first and not measured.
const warmUpPairs = 50

// Run sends the pairs and returns the measured latencies.
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

// measure sends one request and returns the time to its complete response.
func (o Overhead) measure(ctx context.Context, c *http.Client, url string, body []byte, n int) (time.Duration, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, url+"/v1/chat/completions", bytes.NewReader(body))
	if err != nil {
		return 0, trace.Wrap(err)
	}
	req.Header.Set("Authorization", "Bearer "+o.Key)
	req.Header.Set("Content-Type", "application/json")
	req.Header.Set(wire.HeaderRequestID, fmt.Sprintf("overhead-%d", n))
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
