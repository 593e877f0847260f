package router

import (
	"bytes"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"k8s.io/klog/v2"

	"github.com/cranberrypier/cranberrypier/internal/document"
	"github.com/cranberrypier/cranberrypier/internal/wire"
)

// streamTokens is the number of tokens in one stream.
const streamTokens = 10_000

// burstEngine starts an engine that streams streamTokens tokens without delay,
// tokensPerWrite of them in each write, and returns its address.
func burstEngine(b *testing.B, tokensPerWrite int) string {
	var parts [][]byte
	var text bytes.Buffer
	for i := range streamTokens {
		fmt.Fprintf(&text, "id: %d\ndata: {\"id\":\"c\",\"model\":\"small@v1\",\"choices\":[{\"index\":0,\"delta\":{\"content\":\"horn%d \"},\"finish_reason\":null}]}\n\n", i+1, i)
		if (i+1)%tokensPerWrite == 0 {
			parts = append(parts, bytes.Clone(text.Bytes()))
			text.Reset()
		}
	}
	parts = append(parts, []byte("data: [DONE]\n\n"))
	srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		w.Header().Set(wire.HeaderRequestID, r.Header.Get(wire.HeaderRequestID))
		w.Header().Set(wire.HeaderEngineState, "warm")
		w.Header().Set(wire.HeaderIncarnation, "1")
		for _, p := range parts {
			_, _ = w.Write(p)
			w.(http.Flusher).Flush()
		}
	}))
	b.Cleanup(srv.Close)
	return srv.Listener.Addr().String()
}

// BenchmarkRelay measures the complete relay path from the engine's response to
// the caller. One operation is one token. Run it with -cpu 1 for the rate of one
// core, which the engine, the router and the caller share. Allocations are the sum
// of all three. per is the number of tokens in each write of the engine.
func BenchmarkRelay(b *testing.B) {
	klog.LogToStderr(false)
	f := newTestFleet(b, 1)
	for _, tokensPerWrite := range []int{1, 50} {
		b.Run(fmt.Sprintf("per=%d", tokensPerWrite), func(b *testing.B) {
			addresses := []string{burstEngine(b, tokensPerWrite), burstEngine(b, tokensPerWrite)}
			f.updateDocument(func(d *document.Document) {
				for i := range addresses {
					d.Upstreams[i].Address = addresses[i]
				}
			})
			const body = `{"model":"small@v1","stream":true,"messages":[{"role":"user","content":"hello"}]}`
			buf := make([]byte, 64<<10)
			b.ReportAllocs()
			b.ResetTimer()
			events := 0
			for events < b.N {
				req, err := http.NewRequest(http.MethodPost, f.url(0)+"/v1/chat/completions", bytes.NewBufferString(body))
				require.NoError(b, err)
				req.Header.Set("Authorization", "Bearer "+teamKey)
				resp, err := http.DefaultClient.Do(req)
				require.NoError(b, err)
				require.Equal(b, http.StatusOK, resp.StatusCode)
				lines := 0
				for {
					n, err := resp.Body.Read(buf)
					lines += bytes.Count(buf[:n], []byte{'\n'})
					if err != nil {
						break
					}
				}
				_ = resp.Body.Close()
				require.Equal(b, 2*(streamTokens+1), lines)
				events += streamTokens
			}
			b.ReportMetric(float64(events)/b.Elapsed().Seconds(), "tokens/s")
			b.ReportMetric(float64(b.Elapsed())/float64(events)/float64(time.Microsecond), "us/token")
		})
	}
}
