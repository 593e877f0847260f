package upstream_test

import (
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"

	"github.com/cranberrypier/cranberrypier/internal/upstream"
)

// BenchmarkStreamRead reads streams of 10,000 tokens; one operation is one
// token. Run it with -cpu 1 to get the rate of one core, which the client shares
// with the server of the stream. Writing to callers is not included.
func BenchmarkStreamRead(b *testing.B) {
	const perStream = 10_000
	var text strings.Builder
	for i := range perStream {
		fmt.Fprintf(&text, "id: %d\ndata: {\"id\":\"chatcmpl-r\",\"object\":\"chat.completion.chunk\",\"model\":\"draft@v1\",\"choices\":[{\"index\":0,\"delta\":{\"content\":\"horn%d \"},\"finish_reason\":null}]}\n\n", i+1, i)
	}
	text.WriteString("data: [DONE]\n\n")
	response := text.String()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	srv := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("X-Request-Id", "r")
		_, _ = io.WriteString(w, response)
	})}
	go func() { _ = srv.Serve(l) }()
	defer srv.Close()
	c := upstream.New(upstream.Config{}, nil)
	defer c.Close()
	b.ReportAllocs()
	b.ResetTimer()
	for n := 0; n < b.N; {
		s, err := c.Stream(b.Context(), l.Addr().String(), upstream.StreamRequest{RequestID: "r", Body: []byte("{}")})
		if err != nil {
			b.Fatal(err)
		}
		for {
			e, err := s.Next()
			if errors.Is(err, io.EOF) {
				break
			}
			if err != nil {
				b.Fatal(err)
			}
			_, _ = io.Discard.Write(e.Data)
			n++
		}
		s.Close()
	}
	b.ReportMetric(float64(b.N)/b.Elapsed().Seconds(), "tokens/s")
}

// BenchmarkStreamOpen opens, reads and closes a stream of one token; one
// operation is one request. The sub-benchmark "plain" uses net/http directly.
func BenchmarkStreamOpen(b *testing.B) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	srv := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		w.Header().Set("X-Request-Id", "r")
		_, _ = io.WriteString(w, "id: 1\ndata: {}\n\ndata: [DONE]\n\n")
	})}
	go func() { _ = srv.Serve(l) }()
	defer srv.Close()
	address := l.Addr().String()
	b.Run("client", func(b *testing.B) {
		c := upstream.New(upstream.Config{}, nil)
		defer c.Close()
		b.ReportAllocs()
		for b.Loop() {
			s, err := c.Stream(b.Context(), address, upstream.StreamRequest{RequestID: "r", Body: []byte("{}")})
			if err != nil {
				b.Fatal(err)
			}
			for err == nil {
				_, err = s.Next()
			}
			s.Close()
		}
	})
	b.Run("plain", func(b *testing.B) {
		b.ReportAllocs()
		for b.Loop() {
			resp, err := http.Post("http://"+address+"/v1/chat/completions", "application/json", strings.NewReader("{}"))
			if err != nil {
				b.Fatal(err)
			}
			_, _ = io.Copy(io.Discard, resp.Body)
			_ = resp.Body.Close()
		}
	})
}

// BenchmarkLoadReport reads the load report of one engine over a reused
// connection. One operation includes the cost of the server, which runs in the
// same process.
func BenchmarkLoadReport(b *testing.B) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	srv := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		_, _ = io.WriteString(w, `{"incarnation":"1","state":"warm","running":3,"queued":0,"loaded":["m@v1"],"taken_at_ms":1}`)
	})}
	go func() { _ = srv.Serve(l) }()
	defer srv.Close()
	c := upstream.New(upstream.Config{}, nil)
	defer c.Close()
	b.ReportAllocs()
	for b.Loop() {
		if _, f := c.Load(b.Context(), l.Addr().String()); f != nil {
			b.Fatal(f)
		}
	}
}
