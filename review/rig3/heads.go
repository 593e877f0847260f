//go:build review

package main

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

// Figures of the case.
const (
	attackedVMs     = 2
	attackRounds    = 3
	headClients     = 64
	headBytes       = 1 << 20
	headHold        = 9 * time.Second
	attackTime      = 10 * time.Second
	ordinaryPause   = 50 * time.Millisecond
	restartDelay    = 500 * time.Millisecond
	memoryInterval  = 10 * time.Millisecond
	endsForFault    = 3 // on attackedVMs, which are two and more than a tenth of all
	lookupDeadline  = 1500 * time.Millisecond
	calmBeforeRound = 2 * time.Second
)

// hostileHead returns a head of many short lines without its end.
func hostileHead(limit int) []byte {
	const digits = "abcdefghijklmnopqrstuvwxyz0123456789"
	var b bytes.Buffer
	b.WriteString("GET /lohu930/x HTTP/1.1\r\nHost: " + host + "\r\n")
	for i := 0; b.Len() < limit; i++ {
		n := i
		b.WriteByte('q')
		for range 3 {
			b.WriteByte(digits[n%len(digits)])
			n /= len(digits)
		}
		b.WriteString(":\r\n")
	}
	return b.Bytes()
}

// sendHostileHead sends a request with a chunked body and without a key, reads its
// response, and goes on with an empty line and a head over the limit on the same
// connection.
func sendHostileHead(address string, head []byte) string {
	conn, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		return fmt.Sprintf("not connected: %v", err)
	}
	defer conn.Close()
	_ = conn.SetDeadline(time.Now().Add(headHold))
	if _, err = io.WriteString(conn, "POST /none/x HTTP/1.1\r\nHost: "+host+"\r\nTransfer-Encoding: chunked\r\n\r\n1\r\na\r\n0\r\n\r\n"); err != nil {
		return fmt.Sprintf("first request not sent: %v", err)
	}
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return fmt.Sprintf("first request not answered: %v", err)
	}
	_, _ = io.Copy(io.Discard, resp.Body)
	time.Sleep(20 * time.Millisecond)
	sent, err := conn.Write(append([]byte("\r\n"), head...))
	if err != nil {
		return fmt.Sprintf("first request got %d; then %d bytes of a head sent: %v", resp.StatusCode, sent, err)
	}
	answer := make([]byte, 40)
	n, err := conn.Read(answer) // until the VM closes the connection or the hold ends
	return fmt.Sprintf("first request got %d; then %d bytes of a head sent; answered with %q, err %v", resp.StatusCode, sent, answer[:n], err)
}

// memoryGuard is the platform: it kills a process whose memory is over the limit, and
// starts it again.
type memoryGuard struct {
	v     *entryVM
	kills atomic.Int32
	most  atomic.Int64
}

func (g *memoryGuard) run(r *rig, stop *atomic.Bool) {
	for ; !stop.Load(); time.Sleep(memoryInterval) {
		n := g.v.memoryBytes()
		g.most.Store(max(g.most.Load(), n))
		if n <= memoryMB<<20 {
			continue
		}
		r.note("%s holds %d MB, and memoryMb is %d: the platform kills it", g.v.name, n>>20, memoryMB)
		g.v.kill()
		g.kills.Add(1)
		time.Sleep(restartDelay)
		if err := g.v.start(); err != nil {
			r.note("%s not started again: %v", g.v.name, err)
			return
		}
	}
}

// endedOften returns the number of VMs whose process ended as often as the rule says.
func endedOften(guards []*memoryGuard) int {
	n := 0
	for _, g := range guards {
		if g.kills.Load() >= endsForFault {
			n++
		}
	}
	return n
}

func init() { cases["heads"] = runHeads }

// runHeads shows what the memory of VMs does under heads over the limit.
func runHeads() int {
	r, err := newRig(7, 3, 3)
	if err != nil {
		fmt.Println(err)
		return exitNotRun
	}
	return r.finish(r.heads())
}

func (r *rig) heads() error {
	if err := r.startVMs(); err != nil {
		return err
	}
	time.Sleep(10 * time.Second) // as long as the machines have before traffic
	var stop atomic.Bool
	var wait sync.WaitGroup
	guards := make([]*memoryGuard, attackedVMs)
	head := hostileHead(headBytes)
	var lost, served, failed atomic.Int64
	var attacks sync.WaitGroup
	for i := range guards {
		g := &memoryGuard{v: r.vms[i]}
		guards[i] = g
		wait.Go(func() { g.run(r, &stop) })
		wait.Go(func() { r.sendOrdinary(g.v, &stop, &served, &failed, &lost) })
		attacks.Go(func() { r.attack(g, head) })
	}
	attacks.Wait()
	stop.Store(true)
	wait.Wait()
	for _, g := range guards {
		r.note("%s: %d ends for its memory; most memory %d MB of %d", g.v.name, g.kills.Load(), g.most.Load()>>20, memoryMB)
	}
	r.note("ordinary lookups at these machines: %d served, %d failed; %d of them had run", served.Load(), failed.Load(), lost.Load())
	if n := endedOften(guards); n >= attackedVMs {
		r.breaks("on %d of %d machines the process ended %d times, because its memory was over the limit", n, len(r.vms), endsForFault)
	}
	return nil
}

// attack sends hostile heads to a VM in several rounds.
func (r *rig) attack(g *memoryGuard, head []byte) {
	for round := range attackRounds {
		if err := r.awaitReady([]*entryVM{g.v}); err != nil {
			r.note("%v", err)
			return
		}
		time.Sleep(calmBeforeRound)
		before := g.kills.Load()
		r.note("round %d at %s: %d clients", round+1, g.v.name, headClients)
		var clients sync.WaitGroup
		if r.trouble {
			for i := range headClients {
				clients.Go(func() {
					outcome := sendHostileHead(g.v.frontend, head)
					r.note("round %d at %s, client %d: %s", round+1, g.v.name, i, outcome)
				})
			}
		}
		for begin := time.Now(); time.Since(begin) < attackTime && (g.kills.Load() == before || !r.trouble); {
			time.Sleep(memoryInterval)
		}
		clients.Wait()
	}
}

// sendOrdinary sends lookups to a VM, one after the other, until stop is set.
func (r *rig) sendOrdinary(v *entryVM, stop *atomic.Bool, served, failed, lost *atomic.Int64) {
	c := newClient()
	for ; !stop.Load(); time.Sleep(ordinaryPause) {
		a := send(c, v, request{method: "GET", path: "/cufi504/" + newID(), deadline: lookupDeadline})
		if a.status == http.StatusOK {
			served.Add(1)
			continue
		}
		failed.Add(1)
		runs := r.runsOf(a.id)
		if len(runs) > 0 {
			lost.Add(1)
		}
		r.note("ordinary lookup %v, runs %v", a, runs)
	}
}
