package router

import (
	"bytes"
	"io"
	"net/http"
	"net/http/httptest"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"k8s.io/klog/v2"

	"github.com/cranberrypier/cranberrypier/internal/document"
	"github.com/cranberrypier/cranberrypier/internal/wire"
)

// instantEngine starts an engine that answers every chat request immediately with
// one token and returns its address.
func instantEngine(b *testing.B) string {
	srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		w.Header().Set(wire.HeaderRequestID, r.Header.Get(wire.HeaderRequestID))
		w.Header().Set(wire.HeaderEngineState, "warm")
		w.Header().Set(wire.HeaderIncarnation, "1")
		_, _ = io.WriteString(w, "id: 1\ndata: {\"id\":\"c\",\"model\":\"small@v1\",\"choices\":[{\"index\":0,\"delta\":{\"content\":\"horn \"},\"finish_reason\":\"stop\"}]}\n\ndata: [DONE]\n\n")
	}))
	b.Cleanup(srv.Close)
	return srv.Listener.Addr().String()
}

// BenchmarkAdded measures the latency that a router adds. It sends pairs of
// requests, one directly to an engine that answers immediately and one through the
// router, one at a time and in one process. It reports the differences of the
// quantiles in microseconds.
func BenchmarkAdded(b *testing.B) {
	klog.LogToStderr(false)
	f := newTestFleet(b, 1)
	addresses := []string{instantEngine(b), instantEngine(b)}
	f.updateDocument(func(d *document.Document) {
		for i := range d.Teams {
			d.Teams[i].RequestsPerSecond, d.Teams[i].Burst = 100_000, 100_000
		}
		for i := range addresses {
			d.Upstreams[i].Address = addresses[i]
		}
	})
	client := &http.Client{Transport: &http.Transport{DisableCompression: true}}
	defer client.CloseIdleConnections()
	for _, row := range []struct{ name, body string }{
		{"whole", `{"model":"small@v1","max_tokens":1,"messages":[{"role":"user","content":"hello"}]}`},
		{"streamed", `{"model":"small@v1","max_tokens":1,"stream":true,"messages":[{"role":"user","content":"hello"}]}`},
	} {
		b.Run(row.name, func(b *testing.B) {
			var took [2][]time.Duration
			urls := [2]string{"http://" + addresses[0], f.url(0)}
			for i := 0; b.Loop(); i++ {
				for j := range urls {
					k := (i + j) % 2
					took[k] = append(took[k], timeRequest(b, client, urls[k], row.body))
				}
			}
			for _, q := range []struct {
				name string
				at   float64
			}{{"p50", 0.5}, {"p99", 0.99}} {
				d, r := quantile(took[0], q.at), quantile(took[1], q.at)
				b.ReportMetric(float64((r - d).Microseconds()), "added_us_"+q.name)
				b.ReportMetric(float64(d.Microseconds()), "direct_us_"+q.name)
			}
			b.ReportMetric(0, "ns/op")
		})
	}
}

func timeRequest(b *testing.B, c *http.Client, url, body string) time.Duration {
	req, err := http.NewRequest(http.MethodPost, url+"/v1/chat/completions", bytes.NewBufferString(body))
	require.NoError(b, err)
	req.Header.Set("Authorization", "Bearer "+teamKey)
	req.Header.Set("Content-Type", "application/json")
	req.Header.Set(wire.HeaderRequestID, "overhead")
	start := time.Now()
	resp, err := c.Do(req)
	require.NoError(b, err)
	out, err := io.ReadAll(resp.Body)
	took := time.Since(start)
	_ = resp.Body.Close()
	require.NoError(b, err)
	require.Equal(b, http.StatusOK, resp.StatusCode, string(out))
	return took
}

func quantile(d []time.Duration, at float64) time.Duration {
	s := slices.Clone(d)
	slices.Sort(s)
	return s[int(at*float64(len(s)-1))]
}
