//go:build review

package main

import (
	"fmt"
	"io"
	"net"
	"os"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

func init() { cases["memory"] = playMemory }

const (
	// machineMB is the memory of a machine of the deployment capsule-dkr.
	machineMB = 134
	// endlessClients are the clients of a machine whose heads have no end, and oddClients
	// those that send requests of legal size.
	endlessClients, oddClients = 900, 60
	// memoryTime is how long the clients go on.
	memoryTime = 90 * time.Second
	// endsAtFault is the number of ends of a process at which RULES.md speaks of a fault,
	// and machinesAtFault the least number of machines.
	endsAtFault, machinesAtFault = 3, 2
	// restartDelay is the short delay after which the platform starts a process again.
	restartDelay = 300 * time.Millisecond
)

// machine is a machine as the platform sees it.
type machine struct {
	*vmProcess
	most  int // MB
	ends  int
	alone int // ends that the platform did not cause
}

// memoryMB returns the resident memory of a process, without the pages of files such as its
// program.
func memoryMB(pid int) int {
	raw, err := os.ReadFile(fmt.Sprintf("/proc/%d/statm", pid))
	if err != nil {
		return 0
	}
	var size, resident, shared int
	if _, err := fmt.Sscan(string(raw), &size, &resident, &shared); err != nil {
		return 0
	}
	return (resident - shared) * os.Getpagesize() >> 20
}

// watch kills a process that exceeds the machine's memory, and starts it again, as the
// platform does.
func (r *rig) watch(m *machine, end time.Time) {
	for ; time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
		mb := memoryMB(m.cmd.Process.Pid)
		m.most = max(m.most, mb)
		alone := !m.running()
		if mb <= machineMB && !alone {
			continue
		}
		if alone {
			m.alone++
		} else {
			m.signal(syscall.SIGKILL)
			<-m.exited
		}
		m.ends++
		r.add("machine %s: the process has ended, with %d MB of %d MB, by itself: %t", m.name, mb, machineMB, alone)
		time.Sleep(restartDelay)
		if err := r.launch(m.vmProcess); err != nil {
			r.add("machine %s: %v", m.name, err)
			return
		}
	}
}

// endlessHead begins a request whose head has no end, and waits until the connection is
// closed.
func endlessHead(address string, end time.Time) {
	conn, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		time.Sleep(100 * time.Millisecond)
		return
	}
	defer conn.Close()
	_ = conn.SetDeadline(end)
	var b strings.Builder
	b.WriteString("POST /lohu930/2f HTTP/1.1\r\nHost: " + host + "\r\n")
	for i := range 60 {
		fmt.Fprintf(&b, "a%02d: b\r\n", i)
	}
	_, _ = io.WriteString(conn, b.String())
	_, _ = io.Copy(io.Discard, conn)
}

// oddRequest is a request of legal size: its request line and its header are each below
// maxHeaderBytes. Its path has many slashes and its Host line is long.
var oddRequest = "GET " + strings.Repeat("/", 16300) + " HTTP/1.1\r\nHost: " + strings.Repeat("a", 16000) + "\r\n\r\n"

// playMemory lets clients that the operators don't control send to two machines, and watches
// the memory of the processes.
func playMemory(r *rig) (bool, error) {
	s := &replicas{rig: r, work: 15 * time.Millisecond, quiet: true}
	for i, zone := range zones {
		if err := s.startReplica(fmt.Sprintf("i-%08x", i+1), plain, zone); err != nil {
			return false, err
		}
	}
	r.configure(7, route("r-2yhvz3p", "/lohu930/", "safe", 1200, 100, plain, 2))
	var machines []*machine
	for i := range machinesAtFault {
		v, err := r.startVM(fmt.Sprintf("edge-%s-1", zones[i]), zones[i], machineMB)
		if err != nil {
			return false, err
		}
		machines = append(machines, &machine{vmProcess: v})
	}
	for _, m := range machines {
		if err := r.awaitReady(m.vmProcess); err != nil {
			return false, err
		}
	}
	end := time.Now().Add(memoryTime)
	var wait, watchers sync.WaitGroup
	var odd, asked, served atomic.Int64
	for _, m := range machines {
		watchers.Go(func() { r.watch(m, end) })
		wait.Go(func() { // ordinary callers
			for i := 0; time.Now().Before(end); i++ {
				id := fmt.Sprintf("%s-%06d", m.name, i)
				wait.Go(func() {
					p := send(m.frontend, head("GET", "/lohu930/2f", id, 1500*time.Millisecond), "GET", 1500*time.Millisecond)
					asked.Add(1)
					if p.status == 200 && p.whole {
						served.Add(1)
						return
					}
					r.add("ordinary caller: %s got %s", id, p)
				})
				time.Sleep(200 * time.Millisecond)
			}
		})
		if !r.trouble {
			continue
		}
		for range endlessClients {
			wait.Go(func() {
				for time.Now().Before(end) {
					endlessHead(m.frontend, end)
				}
			})
		}
		for range oddClients {
			wait.Go(func() {
				for time.Now().Before(end) {
					if p := send(m.frontend, oddRequest, "GET", 10*time.Second); p.status != 0 {
						odd.Add(1)
					} else {
						time.Sleep(100 * time.Millisecond)
					}
				}
			})
		}
	}
	watchers.Wait()
	broken := 0
	for _, m := range machines {
		r.add("machine %s: %d ends, %d of them without the platform; at most %d MB of %d MB", m.name, m.ends, m.alone, m.most, machineMB)
		fmt.Printf("%s: %d ends, at most %d MB of %d MB\n", m.name, m.ends, m.most, machineMB)
		if m.ends >= endsAtFault {
			broken++
		}
		m.kill()
	}
	wait.Wait()
	r.add("ordinary callers: %d requests, %d served; odd requests answered: %d", asked.Load(), served.Load(), odd.Load())
	fmt.Printf("ordinary callers: %d requests, %d served; odd requests answered: %d\n", asked.Load(), served.Load(), odd.Load())
	if broken >= machinesAtFault {
		return false, fmt.Errorf("Fault: on %d machines the process exceeded the memory three times or more", broken)
	}
	return true, nil
}
