package edge_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// sendOnKeptConn sends a request on a connection of its own that was opened before,
// and returns the response. The error is set if the connection ends early.
func sendOnKeptConn(conn net.Conn, path, id string, deadline time.Duration) (resp *http.Response, err error) {
	_, err = fmt.Fprintf(conn, "POST %s HTTP/1.1\r\nHost: %s\r\nX-Attempt-Id: %s\r\nApi-Key: %s\r\nX-Model: *\r\nX-Deadline-Ms: %d\r\nContent-Length: 0\r\n\r\n",
		path, host, id, key, deadline.Milliseconds())
	if err != nil {
		return nil, err
	}
	resp, err = http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return nil, err
	}
	defer func() { _ = resp.Body.Close() }()
	_, err = io.ReadAll(resp.Body)
	return resp, err
}

// Guards against requests on kept connections that a stopping VM takes although it
// can't finish them, and then cuts.
func TestRequestTakenLateInAStopIsCut(t *testing.T) {
	const (
		readyUntil = 2200 * time.Millisecond // until then the platform counts the VM as ready
		lateFrom   = 2700 * time.Millisecond
		lastAt     = 3400 * time.Millisecond
		step       = 50 * time.Millisecond
	)
	s := newSite(t)
	s.grace = 6 * time.Second
	s.startDefaults()
	for id, p := range s.replicas {
		if id[0] == 'e' {
			p.Events, p.EventInterval = 9, 240*time.Millisecond // 2.2 s
		}
	}
	conns := make([]net.Conn, int(lastAt/step))
	for i := range conns {
		var err error
		conns[i], err = net.Dial("tcp", s.vms[0].settings.CallerAddress)
		require.NoError(t, err)
		defer func() { _ = conns[i].Close() }()
		_, err = sendOnKeptConn(conns[i], "/look/x", fmt.Sprint("warm-", i), time.Second)
		require.NoError(t, err)
	}
	begin := time.Now()
	s.vms[0].stop()
	var wait sync.WaitGroup
	var mu sync.Mutex
	refused := 0
	for i, conn := range conns {
		time.Sleep(time.Until(begin.Add(time.Duration(i) * step)))
		wait.Go(func() {
			id := fmt.Sprint("r", i)
			sentAt := time.Since(begin)
			resp, err := sendOnKeptConn(conn, "/chat/x", id, 10*time.Second)
			mu.Lock()
			defer mu.Unlock()
			switch {
			case err != nil:
				assert.Empty(t, s.runs(id), "%s, sent after %v, was cut: %v", id, sentAt, err)
				assert.Greater(t, sentAt, readyUntil, "%s was not answered", id)
			case resp.StatusCode == http.StatusServiceUnavailable:
				refused++
				assert.Greater(t, sentAt, readyUntil, "%s was refused", id)
				assert.Empty(t, s.runs(id))
				assert.True(t, resp.Close, "the caller is to use another connection")
				assert.NotEmpty(t, resp.Header.Get("Retry-After"))
				assert.Less(t, time.Since(begin)-sentAt, 200*time.Millisecond, "refused at once")
			default:
				assert.Equal(t, http.StatusOK, resp.StatusCode)
				assert.Less(t, sentAt, lateFrom, "%s was taken", id)
			}
		})
	}
	wait.Wait()
	assert.NotZero(t, refused)
}

// Guards against a stopping VM that refuses what it can finish in time.
func TestShortRequestLateInAStopIsServed(t *testing.T) {
	s := newSite(t)
	s.grace = 6 * time.Second
	s.startDefaults()
	conn, err := net.Dial("tcp", s.vms[0].settings.CallerAddress)
	require.NoError(t, err)
	defer func() { _ = conn.Close() }()
	_, err = sendOnKeptConn(conn, "/look/x", "warm", time.Second)
	require.NoError(t, err)
	s.vms[0].stop()
	time.Sleep(2800 * time.Millisecond)
	resp, err := sendOnKeptConn(conn, "/look/x", "late", 400*time.Millisecond)
	require.NoError(t, err)
	assert.Equal(t, http.StatusOK, resp.StatusCode)
}
