//go:build review

package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"time"
)

// reply is what a client got for a request.
type reply struct {
	status    int
	header    http.Header
	body      string
	whole     bool // the body is complete
	err       error
	connected bool // the connection was established
	took      time.Duration
}

func (p reply) String() string {
	if p.err != nil && p.status == 0 {
		return fmt.Sprintf("no answer after %d ms: %v", p.took.Milliseconds(), p.err)
	}
	return fmt.Sprintf("%d after %d ms, signature %q, body of %d bytes, whole: %t", p.status, p.took.Milliseconds(), p.header.Get("X-Response-Signature"), len(p.body), p.whole)
}

// head returns the head of a request as a client sends it.
func head(method, target, id string, deadline time.Duration, more ...string) string {
	var b strings.Builder
	fmt.Fprintf(&b, "%s %s HTTP/1.1\r\nHost: %s\r\nX-Attempt-Id: %s\r\nX-Deadline-Ms: %d\r\nApi-Key: %s\r\n", method, target, host, id, deadline.Milliseconds(), apiKey)
	for _, line := range more {
		b.WriteString(line + "\r\n")
	}
	b.WriteString("\r\n")
	return b.String()
}

// send sends a request on a connection of its own and waits for the answer until the
// deadline.
func send(address, request, method string, deadline time.Duration) (p reply) {
	begin := time.Now()
	defer func() { p.took = time.Since(begin) }()
	conn, err := net.DialTimeout("tcp", address, time.Second) // clients allow a connection one second
	if err != nil {
		p.err = err
		return p
	}
	defer conn.Close()
	p.connected = true
	_ = conn.SetDeadline(begin.Add(deadline))
	if _, err := io.WriteString(conn, request); err != nil {
		p.err = err
		return p
	}
	resp, err := http.ReadResponse(bufio.NewReader(conn), &http.Request{Method: method})
	if err != nil {
		p.err = err
		return p
	}
	defer resp.Body.Close()
	p.status, p.header = resp.StatusCode, resp.Header
	body, err := io.ReadAll(resp.Body)
	p.body, p.whole, p.err = string(body), err == nil, err
	return p
}
