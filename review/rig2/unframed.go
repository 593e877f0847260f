//go:build review

package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/cranberrypier/cranberrypier/internal/fake/ports"
)

func init() { cases["unframed"] = playUnframed }

const (
	// streamEvents and streamPause are the events of a stream and the time after each.
	streamEvents = 25
	streamPause  = 60 * time.Millisecond
	// streamReplicas are the replicas of the service, of which one crashes: a share of 0.25.
	streamReplicas = 4
)

// serveReplica is the process of a replica of the model service. Its streams come with
// neither a length nor chunks and end with their connection; otherwise they are sound.
func serveReplica(id, address string) error {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return err
	}
	for {
		conn, err := l.Accept()
		if err != nil {
			return err
		}
		go func() {
			defer conn.Close()
			r, err := http.ReadRequest(bufio.NewReader(conn))
			if err != nil {
				return
			}
			if _, err := io.Copy(io.Discard, r.Body); err != nil {
				return
			}
			answerStream(conn, id, r)
		}()
	}
}

func answerStream(w io.Writer, id string, r *http.Request) {
	request := r.Header.Get("X-Attempt-Id")
	if e := r.Header.Get("X-Expected-Replica"); e != "" && e != id {
		_, _ = fmt.Fprintf(w, "HTTP/1.1 421 Misdirected Request\r\nX-Not-Executed: 1\r\nX-Replica-Id: %s\r\nContent-Length: 0\r\nConnection: close\r\n\r\n", id)
		return
	}
	_, err := fmt.Fprintf(w, "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nX-Attempt-Id: %s\r\nX-Replica-Id: %s\r\nX-Replica-Load: 1,0,64\r\nX-Response-Signature: %s.%s\r\nX-Confidence: 90\r\nConnection: close\r\n\r\n", request, id, id, request)
	last, _ := strconv.Atoi(r.Header.Get("Last-Event-Id")) // zero for none
	for n := last + 1; n <= streamEvents && err == nil; n++ {
		time.Sleep(streamPause)
		_, err = fmt.Fprintf(w, "id: %d\ndata: piece %d of %s\n\n", n, n, request)
	}
}

// startReplicaProcess starts a replica as a process of its own and publishes its entry.
func (r *rig) startReplicaProcess(id, zone string) (*exec.Cmd, error) {
	address, err := ports.FreeAddress()
	if err != nil {
		return nil, cannotRun("%w", err)
	}
	cmd := exec.Command(os.Args[0], "replica", id, address)
	if err := cmd.Start(); err != nil {
		return nil, cannotRun("%w", err)
	}
	r.closers = append(r.closers, func() {
		_ = cmd.Process.Kill()
		_ = cmd.Wait()
	})
	for range 100 {
		if conn, err := net.Dial("tcp", address); err == nil {
			_ = conn.Close()
			r.publish(id, engine, address, zone, 64)
			r.add("replica %s started, a process of its own", id)
			return cmd, nil
		}
		time.Sleep(20 * time.Millisecond)
	}
	return nil, cannotRun("replica %s does not listen", id)
}

// playUnframed reads streams while a replica crashes.
func playUnframed(r *rig) (bool, error) {
	var processes []*exec.Cmd
	for i := range streamReplicas {
		p, err := r.startReplicaProcess(fmt.Sprintf("i-%08x", i+1), zones[i%len(zones)])
		if err != nil {
			return false, err
		}
		processes = append(processes, p)
	}
	streams := route("r-2yhvz3p", "/lohu930/", "streaming", 12000, 2000, engine, 3)
	streams["resumable"], streams["sticky"], streams["targetGapMs"] = true, true, 1200
	r.configure(7, streams)
	v, err := r.startVM("edge-"+zones[0]+"-1", zones[0], machineMB)
	if err != nil {
		return false, err
	}
	if err := r.awaitReady(v); err != nil {
		return false, err
	}
	var wait sync.WaitGroup
	var mu sync.Mutex
	cut, answered := 0, 0
	for i := range 40 {
		if i == 20 && r.trouble {
			_ = processes[0].Process.Kill()
			r.add("replica i-00000001 crashes: SIGKILL")
		}
		wait.Go(func() {
			id := fmt.Sprintf("9c41d07be2a36%03x", i)
			p := send(v.frontend, head("POST", "/lohu930/2f", id, 10*time.Second, "X-Model: daka510000", "X-Token-Usage: 1460,80",
				fmt.Sprintf("X-Prefix-Hash: 5c1e07a2:800,91bd3f06:410,e4402b%02x:250", i), "Content-Length: 2")+"hi", "POST", 10*time.Second)
			events := strings.Count(p.body, "\n\n")
			r.add("client sent %s and got %s, %d of %d events", id, p, events, streamEvents)
			mu.Lock()
			defer mu.Unlock()
			if p.status == 200 && p.whole {
				answered++
				if events != streamEvents {
					cut++
					r.add("ORDER: the stream of %s ended as complete after event %d of %d", id, events, streamEvents)
				}
			}
		})
		time.Sleep(100 * time.Millisecond)
	}
	wait.Wait()
	fmt.Printf("%d streams ended as complete, %d of them too early\n", answered, cut)
	if answered == 0 {
		return false, cannotRun("no stream was answered")
	}
	if cut > 0 {
		return false, fmt.Errorf("ORDER: %d streams ended as complete before their last piece", cut)
	}
	return true, nil
}
