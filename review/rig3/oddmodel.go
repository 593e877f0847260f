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

// Figures of the case.
const (
	oddDeposits    = 8
	oddModel       = "caf\xe9" // "café" in ISO 8859-1
	maxLostAnswers = 3
	oddInterval    = 300 * time.Millisecond
)

func init() { cases["oddmodel"] = runOddModel }

// runOddModel sends deposits whose X-Model holds a byte that is not UTF-8.
func runOddModel() int {
	r, err := newRig(7, 3, 3)
	if err != nil {
		fmt.Println(err)
		return exitNotRun
	}
	return r.finish(r.oddModel())
}

func (r *rig) oddModel() error {
	if err := r.startVMs(); err != nil {
		return err
	}
	time.Sleep(10 * time.Second) // as long as the machines have before traffic
	model := "cafe"
	if r.trouble {
		model = oddModel
	}
	lost := 0
	v := r.vms[0]
	for i := range oddDeposits {
		conn, err := net.DialTimeout("tcp", v.frontend, time.Second)
		if err != nil {
			return err
		}
		in := bufio.NewReader(conn)
		first, body := newID(), "deposit "+newID()
		status, err := exchangeOn(conn, in, first, "", body)
		if err != nil || status != http.StatusOK {
			return fmt.Errorf("the first request of a connection: status %d, %v", status, err)
		}
		id := newID()
		status, err = exchangeOn(conn, in, id, "X-Model: "+model+"\r\n", body)
		r.note("deposit %d, %s, on a kept connection: status %d, err %v, runs %v", i, id, status, err, r.runsOf(id))
		if err != nil && len(r.runsOf(id)) > 0 {
			lost++
		}
		_ = conn.Close()
		time.Sleep(oddInterval)
	}
	r.note("%d of %d deposits ran, and their kept connections were closed without an answer; %d are allowed", lost, oddDeposits, maxLostAnswers)
	if lost > maxLostAnswers {
		r.breaks("%s passed %d requests of kept connections on to sound replicas and closed the connections without an answer", v.name, lost)
	}
	return nil
}

// exchangeOn sends a deposit on a connection and reads the response.
func exchangeOn(conn net.Conn, in *bufio.Reader, id, extra, body string) (int, error) {
	_ = conn.SetDeadline(time.Now().Add(3 * time.Second))
	head := fmt.Sprintf("POST %s HTTP/1.1\r\nHost: %s\r\nX-Attempt-Id: %s\r\nX-Deadline-Ms: 1500\r\nApi-Key: %s\r\n%sContent-Length: %d\r\n\r\n%s", depositPath, host, id, apiKey, extra, len(body), body)
	if _, err := io.Copy(conn, strings.NewReader(head)); err != nil {
		return 0, err
	}
	resp, err := http.ReadResponse(in, nil)
	if err != nil {
		return 0, err
	}
	_, err = io.Copy(io.Discard, resp.Body)
	return resp.StatusCode, err
}

// runsOf returns the replicas that ran a request.
func (r *rig) runsOf(id string) []string {
	var out []string
	for _, p := range r.replicas {
		for _, incarnation := range p.incarnations() {
			for _, run := range incarnation.Runs() {
				if run.ID == id {
					out = append(out, run.Replica)
				}
			}
		}
	}
	return out
}
