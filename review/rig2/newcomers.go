//go:build review

package main

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"
)

func init() { cases["newcomers"] = playNewcomers }

const (
	// waitingClients are clients that the operators don't control, one connection each.
	waitingClients = 1000
	// newcomersTime is how long they go on.
	newcomersTime = 30 * time.Second
	// stabilityWindow and triesAtLeast are the bounds of the rule.
	stabilityWindow = 3 * time.Second
	triesAtLeast    = 7
)

// longRequest is a request of legal size: its head is complete and has many short lines. Its
// body doesn't come.
var longRequest = "POST /nowhere HTTP/1.1\r\nHost: " + host + "\r\nContent-Length: 10000\r\n" + strings.Repeat("a:\r\n", 40) + "\r\n"

// newcomer is what became of a client that opened a connection.
type newcomer struct {
	begun time.Time
	taken bool
}

// playNewcomers lets clients that the operators don't control send heads to a machine, while
// ordinary clients open connections.
func playNewcomers(r *rig) (bool, error) {
	s := &replicas{rig: r, work: 15 * time.Millisecond, quiet: true}
	for i, zone := range zones {
		if err := s.startReplica(fmt.Sprintf("i-%08x", i+1), plain, zone); err != nil {
			return false, err
		}
	}
	r.configure(7, route("r-2yhvz3p", "/lohu930/", "safe", 1200, 100, plain, 2))
	v, err := r.startVM("edge-"+zones[0]+"-1", zones[0], machineMB)
	if err != nil {
		return false, err
	}
	if err := r.awaitReady(v); err != nil {
		return false, err
	}
	time.Sleep(stabilityWindow + 500*time.Millisecond) // in touch
	end := time.Now().Add(newcomersTime)
	var wait sync.WaitGroup
	if r.trouble {
		r.add("%d clients that the operators don't control begin", waitingClients)
		for range waitingClients {
			wait.Go(func() {
				for time.Now().Before(end) {
					sendHeadOnly(v.frontend, end)
				}
			})
		}
	}
	var mu sync.Mutex
	var all []newcomer
	notReady := 0
	wait.Go(func() { // the platform
		c := &http.Client{Timeout: time.Second}
		for time.Now().Before(end) {
			resp, err := c.Get("http://" + v.ready + "/cranberrypier/readyz")
			if err != nil || resp.StatusCode != http.StatusOK {
				mu.Lock()
				notReady++
				mu.Unlock()
			}
			if err == nil {
				_ = resp.Body.Close()
			}
			time.Sleep(time.Second)
		}
	})
	served := 0
	for i := 0; time.Now().Before(end); i++ {
		wait.Go(func() {
			n := newcomer{begun: time.Now()}
			p := send(v.frontend, head("GET", "/lohu930/2f", fmt.Sprintf("9c41d07be2a37%03x", i), 1500*time.Millisecond), "GET", 1500*time.Millisecond)
			n.taken = p.status != 0
			r.add("ordinary client %d got %s", i, p)
			mu.Lock()
			defer mu.Unlock()
			all = append(all, n)
			if p.status == http.StatusOK && p.whole {
				served++
			}
		})
		time.Sleep(100 * time.Millisecond)
	}
	wait.Wait()
	longest, tries := longestSpan(all)
	r.add("%d ordinary clients, %d served; the longest span without a connection that was taken: %d ms, with %d tries; not ready: %d times", len(all), served, longest.Milliseconds(), tries, notReady)
	fmt.Printf("%d ordinary clients, %d served; longest span without a connection that was taken: %d ms, with %d tries; not ready: %d times\n", len(all), served, longest.Milliseconds(), tries, notReady)
	switch {
	case notReady > 0:
		return true, nil // the platform sends new connections elsewhere
	case longest >= stabilityWindow && tries >= triesAtLeast:
		return false, fmt.Errorf("RECOVER: the machine says that it is ready and took no new connection of %d clients for %d ms", tries, longest.Milliseconds())
	}
	return true, nil
}

// longestSpan returns the longest span between the first and the last of clients that came
// one after the other and whose connections were not taken, and their number.
func longestSpan(all []newcomer) (longest time.Duration, tries int) {
	var first time.Time
	n := 0
	for _, c := range sortedNewcomers(all) {
		if c.taken {
			n = 0
			continue
		}
		if n == 0 {
			first = c.begun
		}
		n++
		if d := c.begun.Sub(first); d > longest {
			longest, tries = d, n
		}
	}
	return longest, tries
}

// sendHeadOnly sends the head of a request and waits until the connection is closed.
func sendHeadOnly(address string, end time.Time) {
	conn, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		time.Sleep(100 * time.Millisecond)
		return
	}
	defer conn.Close()
	_ = conn.SetDeadline(end)
	if _, err := io.WriteString(conn, longRequest); err != nil {
		return
	}
	_, _ = io.Copy(io.Discard, conn)
}

func sortedNewcomers(all []newcomer) []newcomer {
	slices.SortFunc(all, func(a, b newcomer) int { return a.begun.Compare(b.begun) })
	return all
}
