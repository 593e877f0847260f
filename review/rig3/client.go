//go:build review

package main

import (
	"bytes"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"time"
)

// depositPath is the path of deposits, which are unsafe.
const depositPath = "/puxa403/deposits"

// answer is what a client got for a request.
type answer struct {
	id      string
	vm      string
	status  int
	bytes   int
	err     error
	sentAt  time.Time
	took    time.Duration
	fromVM  bool // no replica's signature
	retryIn string
}

func (a answer) String() string {
	return fmt.Sprintf("%s at %s: status %d, own %t, %d bytes, took %d ms, Retry-After %q, err %v", a.id, a.vm, a.status, a.fromVM, a.bytes, a.took.Milliseconds(), a.retryIn, a.err)
}

// request is what a client sends.
type request struct {
	method, path, prefix, model, body string
	deadline                          time.Duration
}

func newID() string { return fmt.Sprintf("%016x", rand.Uint64()) }

// newClient returns a client with connections of its own.
func newClient() *http.Client {
	return &http.Client{Transport: &http.Transport{DisableCompression: true, MaxIdleConnsPerHost: 4}}
}

// send sends a request to a VM and reads the whole response.
func send(c *http.Client, v *entryVM, q request) answer {
	a := answer{id: newID(), vm: v.name, sentAt: time.Now()}
	req, err := http.NewRequest(q.method, "http://"+v.frontend+q.path, bytes.NewReader([]byte(q.body)))
	if err != nil {
		a.err = err
		return a
	}
	if q.body == "" {
		req.Body = http.NoBody
	}
	req.Host = host
	req.Header.Set("X-Attempt-Id", a.id)
	req.Header.Set("X-Deadline-Ms", fmt.Sprint(q.deadline.Milliseconds()))
	req.Header.Set("Api-Key", apiKey)
	if q.prefix != "" {
		req.Header.Set("X-Model", q.model)
		req.Header.Set("X-Token-Usage", "1460,80")
		req.Header.Set("X-Prefix-Hash", q.prefix)
	}
	resp, err := c.Do(req)
	if err != nil {
		a.err, a.took = err, time.Since(a.sentAt)
		return a
	}
	n, err := io.Copy(io.Discard, resp.Body)
	_ = resp.Body.Close()
	a.status, a.bytes, a.err, a.took = resp.StatusCode, int(n), err, time.Since(a.sentAt)
	a.fromVM, a.retryIn = resp.Header.Get("X-Response-Signature") == "", resp.Header.Get("Retry-After")
	return a
}
