package edge_test

import (
	"fmt"
	"io"
	"net/http"
	"slices"
	"strings"
	"testing"
	"time"
)

// BenchmarkAddedLatency measures the latency that a VM adds to the first event,
// as pairs of a direct request to a replica and one through the VM.
func BenchmarkAddedLatency(b *testing.B) {
	s := newSite(b)
	s.startDefaults()
	for _, p := range s.replicas {
		p.EventInterval = 0
	}
	var direct, routed []time.Duration
	for i := 0; b.Loop(); i++ {
		direct = append(direct, firstEvent(b, s.addresses["e0"], fmt.Sprintf("d%d", i)))
		routed = append(routed, firstEvent(b, s.vms[0].settings.CallerAddress, fmt.Sprintf("r%d", i)))
	}
	for _, q := range []float64{0.5, 0.99} {
		b.ReportMetric(float64((quantile(routed, q) - quantile(direct, q)).Microseconds()), fmt.Sprintf("added-p%.0f-us", 100*q))
	}
}

func quantile(list []time.Duration, q float64) time.Duration {
	slices.Sort(list)
	return list[min(int(q*float64(len(list))), len(list)-1)]
}

func firstEvent(b *testing.B, address, id string) time.Duration {
	req, err := http.NewRequest(http.MethodPost, "http://"+address+"/chat/x", strings.NewReader("prompt"))
	if err != nil {
		b.Fatal(err)
	}
	req.Host = host
	for k, v := range map[string]string{"X-Attempt-Id": id, "Api-Key": key, "X-Model": "small", "X-Deadline-Ms": "4000"} {
		req.Header.Set(k, v)
	}
	begin := time.Now()
	resp, err := httpClient.Do(req)
	if err != nil {
		b.Fatal(err)
	}
	defer func() { _ = resp.Body.Close() }()
	if _, err := resp.Body.Read(make([]byte, 1)); err != nil {
		b.Fatal(err)
	}
	took := time.Since(begin)
	_, _ = io.Copy(io.Discard, resp.Body) // only the first event is timed
	return took
}

// BenchmarkPlainCall measures a call whose response is buffered.
func BenchmarkPlainCall(b *testing.B) {
	s := newSite(b)
	s.startDefaults()
	for _, p := range s.replicas {
		p.ProcessingTime = 0
	}
	for i := 0; b.Loop(); i++ {
		if g := s.do(call{id: fmt.Sprint("c", i), path: "/look/x", key: key}); g.status != 200 {
			b.Fatal(g.status, g.err)
		}
	}
}
