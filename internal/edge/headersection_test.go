package edge

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net/http"
	"runtime"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/cranberrypier/cranberrypier/internal/exchange"
	"github.com/cranberrypier/cranberrypier/internal/poison"
	"github.com/cranberrypier/cranberrypier/internal/vm"
	"github.com/cranberrypier/cranberrypier/platform"
)

// headerShapes are sections of about 16 KB, as lines by number.
var headerShapes = map[string]func(i int) string{
	"ordinary": func(i int) string { return fmt.Sprintf("X-Header-%03d: %s\r\n", i, strings.Repeat("v", 60)) },
	"without values": func(i int) string {
		return string([]byte{'a' + byte(i/676%26), 'a' + byte(i/26%26), 'a' + byte(i%26)}) + ":\r\n"
	},
	"shortest":           func(i int) string { return string([]byte{'a' + byte(i%26)}) + ":\n" },
	"one name":           func(int) string { return "abc:\r\n" },
	"folded":             func(i int) string { return []string{"abc: d\r\n", " e\r\n"}[min(i, 1)] },
	"long names":         func(i int) string { return strings.Repeat(string([]byte{'a' + byte(i)}), 5000) + ": x\r\n" },
	"prompt parts":       func(int) string { return "X-Prefix-Hash: " + strings.Repeat("a:1,", 1000) + "\r\n" },
	"empty prompt parts": func(int) string { return "X-Prefix-Hash: " + strings.Repeat(",", 4000) + "\r\n" },
}

func shapedRequest(line func(i int) string) string {
	var b strings.Builder
	b.WriteString("GET /x HTTP/1.1\r\nHost: a\r\n")
	for i := 0; b.Len() < 16000; i++ {
		b.WriteString(line(i))
	}
	return b.String() + "\r\n"
}

// Guards against header sections that take more memory than is charged for them: what
// is kept until the end of the request, for one attempt.
func TestHeaderCostCoversMemory(t *testing.T) {
	const requests = 50
	for name, line := range headerShapes {
		text := shapedRequest(line)
		var s headerSection
		require.Equal(t, len(text), s.add([]byte(text)), name)
		require.True(t, s.ended, name)
		var before, after runtime.MemStats
		runtime.GC()
		runtime.ReadMemStats(&before)
		var kept []any
		for range requests {
			r, err := http.ReadRequest(bufio.NewReader(strings.NewReader(text)))
			require.NoError(t, err, name)
			in := platform.Ingress{}.DecodeRequest(r)
			in.ContentKeys = poison.KeysOf(in.RequestURI, in.Team, in.Body, sharedPartIDs(in))
			out, err := platform.ReplicaProtocol{}.NewRequest(context.Background(), exchange.Attempt{Request: in, Address: "127.0.0.1:1", Deadline: time.Now()})
			require.NoError(t, err, name)
			kept = append(kept, r, in, out)
		}
		runtime.GC()
		runtime.ReadMemStats(&after)
		size := int64(after.HeapAlloc-before.HeapAlloc) / requests
		t.Logf("%s: %d lines, %d bytes kept, %d allocated, cost %d", name, s.lines, size, int64(after.TotalAlloc-before.TotalAlloc)/requests, s.cost())
		assert.LessOrEqual(t, size, s.cost()+readBufferBytes+freeHeaderCost, name)
		runtime.KeepAlive(kept)
	}
}

// Guards against a section that is measured otherwise if it arrives in other pieces, or
// whose end is not found where net/http finds it.
func TestHeaderSectionInPieces(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		lines := rapid.SliceOf(rapid.SampledFrom([]string{"a:\n", "b: 1,2\r\n", "c: x\r\n y\r\n", "d:  \n"})).Draw(t, "lines")
		text := "GET / HTTP/1.1\r\nHost: a\r\n" + strings.Join(lines, "") + rapid.SampledFrom([]string{"\r\n", "\n"}).Draw(t, "end")
		body := rapid.SampledFrom([]string{"", "\r\n", "body\n\n", "GET /"}).Draw(t, "after")
		var whole, pieces headerSection
		assert.Equal(t, len(text), whole.add([]byte(text+body)))
		sum := 0
		for rest := []byte(text + body); len(rest) > 0; {
			n := rapid.IntRange(1, len(rest)).Draw(t, "piece")
			sum += pieces.add(rest[:n])
			rest = rest[n:]
		}
		assert.Equal(t, whole, pieces)
		assert.Equal(t, len(text), sum)
		r := bufio.NewReader(strings.NewReader(text + body))
		_, err := http.ReadRequest(r)
		require.NoError(t, err)
		left, err := io.ReadAll(r)
		require.NoError(t, err)
		assert.Equal(t, body, string(left))
	})
}

// Guards against limits that leave a small VM no connections, or one without limits in
// its settings any.
func TestConnBounds(t *testing.T) {
	assert.Equal(t, connBounds{callers: 921, peers: 246, admin: 61}, boundsOf(vm.Limits{MemoryMB: 144, MaxOpenFiles: 3075}))
	assert.Equal(t, connBounds{callers: minAdminConns, peers: minAdminConns, admin: minAdminConns}, boundsOf(vm.Limits{MemoryMB: 1, MaxOpenFiles: 10}))
	assert.Zero(t, boundsOf(vm.Limits{}))
	assert.GreaterOrEqual(t, maxHeaderLines(16384, 0), 16384/shortestLineBytes)
}

// Guards against a charge for ordinary traffic: a section costs no allocation and no room.
func BenchmarkHeaderSection(b *testing.B) {
	text := []byte("POST /chat/x HTTP/1.1\r\nHost: soak.example\r\nX-Attempt-Id: r1\r\nApi-Key: key-0\r\nX-Model: small\r\nX-Deadline-Ms: 4000\r\n" +
		"X-Token-Usage: 1460,80\r\nX-Prefix-Hash: aa:800,bb:410,cc:250\r\nSession: s1\r\nContent-Length: 6\r\nUser-Agent: Go-http-client/1.1\r\nAccept-Encoding: gzip\r\n\r\nprompt")
	b.ReportAllocs()
	for b.Loop() {
		var s headerSection
		var a readAhead
		a.add(text[s.add(text):], false)
		if s.cost() > freeHeaderCost || a.next(6).begun {
			b.Fatal("an ordinary section is charged")
		}
	}
}
