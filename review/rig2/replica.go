//go:build review

package main

import (
	"fmt"
	"hash/fnv"
	"io"
	"net/http"
	"sync"
	"time"
)

// run is a request that a replica has run.
type run struct {
	id, replica, method, target, host, tenant, body string
	at                                              time.Time
}

// replicas are stand-ins for the replicas of a plain service. They do what the pages say
// of a sound replica.
type replicas struct {
	rig  *rig
	work time.Duration
	// quiet leaves the runs out of the record.
	quiet bool

	mu   sync.Mutex
	runs []run
}

// startReplica starts a replica and publishes its entry.
func (s *replicas) startReplica(id, service, zone string) error {
	address, err := s.rig.serve(s.handler(id))
	if err != nil {
		return err
	}
	s.rig.publish(id, service, address, zone, 6)
	return nil
}

func (s *replicas) handler(id string) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		h := w.Header()
		h.Set("X-Replica-Id", id)
		h.Set("X-Replica-Load", "1,0,6")
		request := r.Header.Get("X-Attempt-Id")
		switch {
		case request == "":
			h.Set("X-Not-Executed", "1")
			w.WriteHeader(http.StatusBadRequest)
			return
		case r.Header.Get("X-Expected-Replica") != "" && r.Header.Get("X-Expected-Replica") != id:
			h.Set("X-Not-Executed", "1")
			w.WriteHeader(http.StatusMisdirectedRequest)
			return
		}
		body, err := io.ReadAll(r.Body)
		if err != nil {
			return
		}
		x := run{id: request, replica: id, method: r.Method, target: r.RequestURI, host: r.Host, tenant: r.Header.Get("X-Tenant"), body: string(body), at: time.Now()}
		s.mu.Lock()
		s.runs = append(s.runs, x)
		s.mu.Unlock()
		if !s.quiet {
			s.rig.add("replica %s runs %s: %s %.80s, host %s, tenant %s, body of %d bytes", id, x.id, x.method, x.target, x.host, x.tenant, len(body))
		}
		time.Sleep(s.work)
		answer := "answer to " + request
		sum := fnv.New64a()
		_, _ = io.WriteString(sum, id+request+answer)
		h.Set("X-Attempt-Id", request)
		h.Set("X-Response-Signature", fmt.Sprintf("%s.%x", id, sum.Sum64()))
		w.WriteHeader(http.StatusOK)
		_, _ = io.WriteString(w, answer)
	})
}

func (s *replicas) runsOf(id string) (out []run) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, x := range s.runs {
		if x.id == id {
			out = append(out, x)
		}
	}
	return out
}
