package platformside

import (
	"fmt"
	"hash/fnv"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// ReplicaFaults are the switches of a replica.
type ReplicaFaults struct {
	// Reject answers that the request was not executed.
	Reject bool
	// Fail answers with a signed 500.
	Fail bool
	// LoseAnswer runs the request and resets the connection.
	LoseAnswer bool
	// Mute runs the request and never answers.
	Mute bool
	// Torn cuts an answer in the middle.
	Torn bool
	// Extra sends bytes of another answer after a whole one.
	Extra bool
	// Foreign gives another request's answer, with its id and signature.
	Foreign bool
	// Unsigned answers without a signature.
	Unsigned bool
	// Unframed answers with no length; the end of the connection ends it.
	Unframed bool
	// Early answers before the body is read.
	Early bool
	// Delay is added before the first byte.
	Delay time.Duration
}

// Run is one request that a replica executed.
type Run struct {
	ID          string
	Replica     string
	Method      string
	Target      string
	Tenant      string
	APIKey      string
	Model       string
	Deadline    string
	LastEventID string
	Body        string
	StartedAt   time.Time
	// Done is set when the run has ended, and Cut when its caller left.
	Done     bool
	Canceled bool
}

// Replica is the stand-in of one replica.
type Replica struct {
	ID string
	// Events is the number of events of a stream, EventPause between two.
	Events        int
	EventInterval time.Duration
	// Work is the time of a plain request.
	ProcessingTime time.Duration
	// Confidence of answers by model; the others are sure.
	Confidence map[string]int

	mu      sync.Mutex
	faults  ReplicaFaults
	runs    []*Run
	arrived int
}

// NewReplica returns a replica without faults.
func NewReplica(id string) *Replica {
	return &Replica{ID: id, Events: 8, EventInterval: 5 * time.Millisecond, ProcessingTime: 5 * time.Millisecond}
}

// SetFaults replaces the fault switches.
func (p *Replica) SetFaults(f ReplicaFaults) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.faults = f
}

// Runs lists the requests that were executed.
func (p *Replica) Runs() []Run {
	p.mu.Lock()
	defer p.mu.Unlock()
	out := make([]Run, 0, len(p.runs))
	for _, r := range p.runs {
		out = append(out, *r)
	}
	return out
}

// Arrived counts all requests, executed or not.
func (p *Replica) RequestCount() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.arrived
}

// Signature of a replica's answer: callers check that answers are unchanged.
func Signature(id, request string, status int, body string) string {
	h := fnv.New64a()
	_, _ = fmt.Fprintf(h, "%s|%s|%d|%s", id, request, status, body) // a hash never fails to write
	return fmt.Sprintf("%s.%x", id, h.Sum64())
}

// ServeHTTP implements http.Handler.
func (p *Replica) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	p.mu.Lock()
	p.arrived++
	f := p.faults
	p.mu.Unlock()
	h := r.Header
	w.Header().Set("X-Replica-Id", p.ID)
	if e := h.Get("X-Expected-Replica"); e != "" && e != p.ID {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if f.Reject {
		w.Header().Set("X-Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	if f.Early {
		w.Header().Set("X-Not-Executed", "1")
		w.WriteHeader(http.StatusTooManyRequests)
		_ = http.NewResponseController(w).Flush() // before the body is read
		_, _ = io.Copy(io.Discard, r.Body)
		return
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return // the request did not arrive whole
	}
	run := p.begin(r, string(body))
	defer p.end(run, r)
	time.Sleep(f.Delay)
	p.answer(w, r, run, f)
}

func (p *Replica) begin(r *http.Request, body string) *Run {
	h := r.Header
	run := &Run{
		ID: h.Get("X-Attempt-Id"), Replica: p.ID, Method: r.Method, Target: r.RequestURI, Tenant: h.Get("X-Tenant"),
		APIKey: h.Get("Api-Key"), Model: h.Get("X-Model"), Deadline: h.Get("X-Deadline-Ms"), LastEventID: h.Get("Last-Event-Id"),
		Body: body, StartedAt: time.Now(),
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.runs = append(p.runs, run)
	return run
}

func (p *Replica) end(run *Run, r *http.Request) {
	p.mu.Lock()
	defer p.mu.Unlock()
	run.Done = true
	run.Canceled = r.Context().Err() != nil
}

func (p *Replica) answer(w http.ResponseWriter, r *http.Request, run *Run, f ReplicaFaults) {
	switch {
	case f.LoseAnswer:
		time.Sleep(p.ProcessingTime)
		reset(w)
		return
	case f.Mute:
		<-r.Context().Done()
		return
	}
	if f.Foreign {
		other := *run
		other.ID = "another"
		run = &other
	}
	w.Header().Set("X-Attempt-Id", run.ID)
	w.Header().Set("X-Replica-Load", "1,0,8")
	if run.Model != "" && !f.Fail {
		p.stream(w, r, run, f)
		return
	}
	p.plain(w, r, run, f)
}

func (p *Replica) plain(w http.ResponseWriter, r *http.Request, run *Run, f ReplicaFaults) {
	time.Sleep(p.ProcessingTime)
	status, body := http.StatusOK, "answer to "+run.ID+" "+strings.Repeat("x", 600)
	if f.Fail {
		status, body = http.StatusInternalServerError, "failure of "+run.ID
	}
	if !f.Unsigned {
		w.Header().Set("X-Response-Signature", Signature(p.ID, run.ID, status, body))
	}
	switch {
	case f.Torn:
		w.Header().Set("Content-Length", strconv.Itoa(len(body)))
		w.WriteHeader(status)
		_, _ = io.WriteString(w, body[:len(body)/2]) // the rest is cut on purpose
		panic(http.ErrAbortHandler)
	case f.Extra, f.Unframed:
		p.raw(w, status, body, f)
	default:
		w.Header().Set("Content-Length", strconv.Itoa(len(body)))
		w.WriteHeader(status)
		if r.Method != http.MethodHead {
			_, _ = io.WriteString(w, body) // a caller that left is seen by its context
		}
	}
}

// raw writes an answer by hand, past the checks of net/http.
func (p *Replica) raw(w http.ResponseWriter, status int, body string, f ReplicaFaults) {
	conn, buf, err := http.NewResponseController(w).Hijack()
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	defer func() { _ = conn.Close() }() // the answer ends with the connection
	_, _ = fmt.Fprintf(buf, "HTTP/1.1 %d OK\r\n", status)
	for k, v := range w.Header() {
		_, _ = fmt.Fprintf(buf, "%s: %s\r\n", k, v[0])
	}
	if f.Unframed {
		_, _ = fmt.Fprintf(buf, "Connection: close\r\n\r\n%s", body)
	} else {
		_, _ = fmt.Fprintf(buf, "Content-Length: %d\r\n\r\n%s", len(body), body)
		_, _ = fmt.Fprintf(buf, "HTTP/1.1 200 OK\r\nX-Attempt-Id: stray\r\nContent-Length: 5\r\n\r\nstray")
	}
	_ = buf.Flush() // a caller that left does not matter
}

// Event is the text of one event of a stream.
func Event(request, model string, id int) string {
	return fmt.Sprintf("id: %d\ndata: %s %s %d\n\n", id, request, model, id)
}

func (p *Replica) stream(w http.ResponseWriter, r *http.Request, run *Run, f ReplicaFaults) {
	confidence := 100
	if c, ok := p.Confidence[run.Model]; ok {
		confidence = c
	}
	h := w.Header()
	h.Set("Content-Type", "text/event-stream")
	h.Set("X-Confidence", strconv.Itoa(confidence))
	if !f.Unsigned {
		h.Set("X-Response-Signature", Signature(p.ID, run.ID, http.StatusOK, run.Model))
	}
	w.WriteHeader(http.StatusOK)
	flush := http.NewResponseController(w)
	first, err := strconv.Atoi(run.LastEventID)
	if err != nil {
		first = 0
	}
	for id := first + 1; id <= p.Events; id++ {
		if r.Context().Err() != nil {
			return
		}
		text := Event(run.ID, run.Model, id)
		if f.Torn && id == first+3 {
			_, _ = io.WriteString(w, text[:len(text)/2]) // cut in the middle of an event
			_ = flush.Flush()                            // the caller may have left
			panic(http.ErrAbortHandler)
		}
		if _, err := io.WriteString(w, text); err != nil {
			return
		}
		_ = flush.Flush() // the caller may have left
		time.Sleep(p.EventInterval)
	}
}
