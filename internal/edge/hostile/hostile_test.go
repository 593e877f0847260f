package hostile

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

const (
	// attackTime limits the time of one client, and endlessBytes what it sends if it has
	// no end of its own.
	attackTime   = 1500 * time.Millisecond
	endlessBytes = 2 << 20
	// sectionBytes is the size of a legal header section of the attacks: a little less
	// than maxHeaderBytes, with the lines that every request has.
	sectionBytes = 15500
)

// attack is what each of the clients does on its connection.
type attack struct {
	name string
	// send writes to the connection until it fails or has sent everything.
	send func(c net.Conn, begin string)
	// clients is the number of clients; zero for the constant clients.
	clients int
}

// filled returns lines of the function, up to a size.
func filled(bytes int, line func(i int) string) string {
	var b strings.Builder
	for i := 0; b.Len() < bytes; i++ {
		b.WriteString(line(i))
	}
	return b.String()
}

// letters returns the i-th name of three letters.
func letters(i int) string {
	return string([]byte{'a' + byte(i/676%26), 'a' + byte(i/26%26), 'a' + byte(i%26)})
}

// section sends one request with a header section of legal size.
func section(line func(i int) string) func(net.Conn, string) {
	lines := filled(sectionBytes, line)
	return func(c net.Conn, begin string) { write(c, begin+lines+"\r\n") }
}

// endless repeats a text after the begin.
func endless(head func(begin string) string, text string) func(net.Conn, string) {
	chunk := strings.Repeat(text, 1+4096/len(text))
	return func(c net.Conn, begin string) {
		if !write(c, head(begin)) {
			return
		}
		for sent := 0; sent < endlessBytes && write(c, chunk); sent += len(chunk) {
		}
	}
}

func write(c net.Conn, text string) bool {
	_, err := c.Write([]byte(text))
	return err == nil
}

func same(begin string) string { return begin }

func chunked(begin string) string { return begin + "Transfer-Encoding: chunked\r\n\r\n" }

var attacks = []attack{
	{name: "section over the limit", send: func(c net.Conn, begin string) {
		write(c, begin+filled(4*maxHeaderBytes, func(i int) string { return letters(i) + ":\r\n" })+"\r\n")
	}},
	{name: "endless section of short lines", send: endless(same, "abc:\r\nabd: 1\r\n")},
	{name: "endless line", send: endless(same, "abcdefgh")},
	{name: "endless empty lines before a request", send: endless(func(string) string { return "" }, "\r\n")},
	{name: "endless empty lines after a request", send: endless(func(begin string) string { return begin + "\r\n" }, "\r\n")},
	{name: "endless empty lines between chunks", send: endless(func(begin string) string { return chunked(begin) + "1\r\nx\r\n" }, "\r\n")},
	{name: "lines without a value", send: section(func(i int) string { return letters(i) + ":\r\n" })},
	{name: "shortest lines", send: section(func(i int) string { return letters(i)[2:] + ":\n" })},
	{name: "one name repeated", send: section(func(int) string { return "abc:\r\n" })},
	{name: "short values", send: section(func(i int) string { return letters(i) + ":" + letters(i + 1)[2:] + "\r\n" })},
	{name: "folded lines", send: section(func(i int) string { return []string{"abc: d\r\n", " e\r\n"}[min(i, 1)] })},
	{name: "very long names", send: section(func(i int) string { return strings.Repeat(letters(i), 1700) + ": x\r\n" })},
	{name: "prompt parts", send: section(func(int) string { return "X-Prefix-Hash: " + strings.Repeat("a:1,", 3800) + "\r\n" })},
	{name: "empty prompt parts", send: section(func(int) string { return "X-Prefix-Hash: " + strings.Repeat(",", 15400) + "\r\n" })},
	{name: "query at the limit", send: func(c net.Conn, begin string) {
		write(c, strings.Replace(begin, " HTTP/1.1", "?"+strings.Repeat("q&", sectionBytes/2)+" HTTP/1.1", 1)+"\r\n")
	}},
	{name: "path at the limit", send: func(c net.Conn, begin string) {
		write(c, strings.Replace(begin, " HTTP/1.1", strings.Repeat("/%61", sectionBytes/4)+" HTTP/1.1", 1)+"\r\n")
	}},
	{name: "endless chunk extension", send: endless(func(begin string) string { return chunked(begin) + "1;" }, "a=b;")},
	{name: "chunks with extensions", send: endless(chunked, "1;"+strings.Repeat("e", 200)+"\r\nx\r\n")},
	{name: "endless trailer", send: endless(func(begin string) string { return chunked(begin) + "0\r\n" }, "abc:\r\nabd: 1\r\n")},
	{name: "trailer of short lines", send: func(c net.Conn, begin string) {
		write(c, chunked(begin)+"0\r\n"+filled(4000, func(i int) string { return letters(i) + ":\r\n" })+"\r\n")
	}},
	{name: "byte by byte", send: func(c net.Conn, begin string) {
		for _, b := range []byte(begin + "a:\nb:\nc:\nd:\ne:\nf:\n") {
			if !write(c, string([]byte{b})) {
				return
			}
			time.Sleep(5 * time.Millisecond)
		}
	}},
	{name: "lines sent slowly and no end", send: func(c net.Conn, begin string) {
		write(c, begin)
		for part := range 8 {
			if !write(c, filled(sectionBytes/8, func(i int) string { return letters(i+part*500) + ":\r\n" })) {
				return
			}
			time.Sleep(100 * time.Millisecond)
		}
		time.Sleep(attackTime / 2)
	}},
	{name: "silent connections", clients: silentClients, send: func(c net.Conn, _ string) { time.Sleep(attackTime) }},
	{name: "pipelined requests", send: func(c net.Conn, begin string) {
		write(c, strings.Repeat(strings.Replace(begin, "/once/", "/none/", 1)+"\r\n", 1000))
	}},
	{name: "pipelined sections", send: func(c net.Conn, begin string) {
		lines := filled(3500, func(i int) string { return letters(i) + ":\r\n" })
		write(c, strings.Repeat(begin+lines+"\r\n", 20))
	}},
	{name: "bodies announced but not sent", send: func(c net.Conn, begin string) {
		write(c, begin+"Content-Length: 1000000\r\n\r\n")
		time.Sleep(attackTime / 2)
	}},
}

// run lets all clients attack one listener at the same time and waits for their ends.
func (a attack) run(address, begin string) {
	n := a.clients
	if n == 0 {
		n = clients
	}
	var wg sync.WaitGroup
	for range n {
		wg.Go(func() {
			c, err := net.DialTimeout("tcp", address, attackTime)
			if err != nil {
				return // refused, which is allowed
			}
			defer func() { _ = c.Close() }()
			_ = c.SetDeadline(time.Now().Add(attackTime))
			a.send(c, begin)
			_, _ = http.ReadResponse(bufio.NewReader(c), nil) // any response, or none, is allowed
		})
	}
	wg.Wait()
}

// TestHostileClients guards against clients that make the process run out of memory or
// descriptors: one attack after the other, each on all listeners at the same time.
func TestHostileClients(t *testing.T) {
	program := buildProgram(t)
	for _, a := range attacks {
		t.Run(strings.ReplaceAll(a.name, " ", "_"), func(t *testing.T) {
			v := startVM(t, program)
			callers := "POST /once/x HTTP/1.1\r\nHost: " + host + "\r\nApi-Key: key\r\nX-Deadline-Ms: 6000\r\n"
			var wg sync.WaitGroup
			wg.Go(func() { a.run(v.callers, callers) })
			wg.Go(func() { a.run(v.peers, callers+"Pier-Forward: {}\r\n") })
			wg.Go(func() { a.run(v.readiness, "GET /cranberrypier/readyz HTTP/1.1\r\nHost: x\r\n") })
			wg.Go(func() { a.run(v.metrics, "GET /metrics HTTP/1.1\r\nHost: x\r\n") })
			wg.Wait()
			v.checkBounds(t)
		})
	}
}

// TestRequestAtTheLimitIsServed guards against limits that a request within the
// configured ones reaches: maxHeaderBytes of legal lines, however many lines that makes.
func TestRequestAtTheLimitIsServed(t *testing.T) {
	v := startVM(t, buildProgram(t))
	for name, line := range map[string]func(i int) string{
		"short lines":    func(i int) string { return letters(i) + ":\r\n" },
		"shortest lines": func(int) string { return "a:\n" },
		"long lines":     func(i int) string { return letters(i) + ": " + strings.Repeat("v", 1000) + "\r\n" },
		"prompt parts":   func(int) string { return "X-Prefix-Hash: " + strings.Repeat("a:1,", 1000) + "\r\n" },
	} {
		head := "Host: " + host + "\r\nApi-Key: key\r\nX-Deadline-Ms: 6000\r\n"
		lines := head
		for i := 0; len(lines)+len(line(i)) <= maxHeaderBytes; i++ {
			lines += line(i)
		}
		c, err := net.Dial("tcp", v.callers)
		require.NoError(t, err)
		_ = c.SetDeadline(time.Now().Add(answerTimeout))
		_, err = fmt.Fprintf(c, "GET /once/x HTTP/1.1\r\n%s\r\n", lines)
		require.NoError(t, err)
		resp, err := http.ReadResponse(bufio.NewReader(c), nil)
		require.NoError(t, err, name)
		assert.Equal(t, http.StatusOK, resp.StatusCode, name)
		_ = c.Close()
	}
	v.checkBounds(t)
}
