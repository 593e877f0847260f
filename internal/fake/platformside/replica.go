package platformside

import (
	"fmt"
	"hash/fnv"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// ReplicaFaults selects the faults that a replica injects. The soak prints the
// names of the fields.
type ReplicaFaults struct {
	// Reject responds with 503 and X-Not-Executed, without running the request.
	Reject bool
	// Fail runs the request and responds with a signed 500.
	Fail bool
	// LoseAnswer runs the request and resets the connection instead of responding.
	LoseAnswer bool
	// Mute runs the request and never responds; package faults calls this Silent.
	Mute bool
	// Torn truncates the response; package faults calls this Cut.
	Torn bool
	// Extra sends bytes of a second response after the complete one.
	Extra bool
	// Foreign responds with the ID and signature of another request; package
	// faults calls this Crossed.
	Foreign bool
	// Unsigned responds without a signature.
	Unsigned bool
	// Unframed responds with neither a Content-Length nor chunks: closing the
	// connection marks the end of the body, also of a truncated stream.
	Unframed bool
	// Early responds with 429 and X-Not-Executed before it reads the request body.
	Early bool
	// Leaving adds Server-Leaving: 1 to each response.
	Leaving bool
	// RetryAfter is added to the responses of Reject; empty for none.
	RetryAfter string
	// Endless sends bytes that are not a response until the client closes the
	// connection; empty for no fault.
	Endless EndlessFault
	// DeadlyPart is a shared part of a prompt on which the replica crashes after the
	// first event of its response; empty for none.
	DeadlyPart string
	// DeadlyBody is a request body on which the replica crashes before it responds;
	// empty for none.
	DeadlyBody string
	// UnknownModel is a model that the replica does not have: it responds with 421.
	UnknownModel string
	// Limit is added to each response as Server-Limit; empty for none.
	Limit string
	// Pause is the time for which a stream pauses after the second event of the
	// response.
	Pause time.Duration
	// Delay is the time to wait before the first byte of the response.
	Delay time.Duration
	// FailShare is the share of requests, 0 to 1, that run and get a signed 500, and
	// SlowShare the share that take Slowdown times as long.
	FailShare, SlowShare float64
	Slowdown             int
	// AnswerBytes is the least size of the body of a response that is not a stream, and
	// EventBytes that of an event of a stream.
	AnswerBytes, EventBytes int
	// Unsized omits the Content-Length of a response that is not a stream: it is sent in
	// chunks.
	Unsized bool
	// MaxUnread is how long a part of a response may stay unread until the replica cuts
	// the response off; zero for no limit.
	MaxUnread time.Duration
	// BodyPause is the time to wait before the request's body is read.
	BodyPause time.Duration
	// FaultyTarget begins the targets of the requests to which FailShare and SlowShare
	// apply; empty for all.
	FaultyTarget string
}

// IsBad reports whether the faults are those of a bad version.
func (f ReplicaFaults) IsBad() bool { return f.FailShare > 0 || f.SlowShare > 0 }

// of returns the faults that apply to one request.
func (f ReplicaFaults) of(target string) ReplicaFaults {
	if !strings.HasPrefix(target, f.FaultyTarget) {
		f.FailShare, f.SlowShare = 0, 0
	}
	f.Fail = f.Fail || rand.Float64() < f.FailShare
	if rand.Float64() >= f.SlowShare {
		f.Slowdown = 0
	}
	return f
}

// Run records one request that a replica executed.
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
	// Bad is set if a fault of the replica's version applied.
	Bad bool
	// Done is set when the run has ended, and Canceled when the client had
	// canceled the request by then.
	Done     bool
	Canceled bool
}

// Replica is a fake of one replica.
type Replica struct {
	ID string
	// Events is the number of events in a stream, and EventInterval the time
	// after each event.
	Events        int
	EventInterval time.Duration
	// ProcessingTime is the processing time of a request that is not a stream.
	ProcessingTime time.Duration
	// Crash is called when the replica crashes on a deadly part or body, and, if it is
	// set, before LoseAnswer resets the connection.
	Crash func()
	// Confidence is the reported confidence, 0 to 100, by model; a model that is
	// not listed reports 100.
	Confidence map[string]int
	// Room limits the requests that the replica runs and queues; nil for no limit.
	Room *Room

	mu           sync.Mutex
	faults       ReplicaFaults
	runs         []*Run
	requestCount int
}

// NewReplica returns a replica without faults.
func NewReplica(id string) *Replica {
	return &Replica{ID: id, Events: 8, EventInterval: 5 * time.Millisecond, ProcessingTime: 5 * time.Millisecond}
}

// SetFaults replaces the injected faults.
func (p *Replica) SetFaults(f ReplicaFaults) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.faults = f
}

// Runs returns the requests that were executed.
func (p *Replica) Runs() []Run {
	p.mu.Lock()
	defer p.mu.Unlock()
	out := make([]Run, 0, len(p.runs))
	for _, r := range p.runs {
		out = append(out, *r)
	}
	return out
}

// RequestCount returns the number of requests received, executed or not.
func (p *Replica) RequestCount() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.requestCount
}

// Signature returns the signature of a replica's response. Tests use it to check
// that a response reached the client unchanged.
func Signature(replicaID, requestID string, status int, body string) string {
	h := fnv.New64a()
	_, _ = fmt.Fprintf(h, "%s|%s|%d|%s", replicaID, requestID, status, body) // writing to a hash never fails
	return fmt.Sprintf("%s.%x", replicaID, h.Sum64())
}

// ServeHTTP implements http.Handler.
func (p *Replica) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	p.mu.Lock()
	p.requestCount++
	f := p.faults
	p.mu.Unlock()
	h := r.Header
	w.Header().Set("X-Replica-Id", p.ID)
	if f.Leaving {
		w.Header().Set("Server-Leaving", "1")
	}
	if f.Limit != "" {
		w.Header().Set("Server-Limit", f.Limit)
	}
	if e := h.Get("X-Expected-Replica"); e != "" && e != p.ID {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if f.UnknownModel != "" && h.Get("X-Model") == f.UnknownModel {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if f.Reject {
		w.Header().Set("X-Not-Executed", "1")
		if f.RetryAfter != "" {
			w.Header().Set("Retry-After", f.RetryAfter)
		}
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
	time.Sleep(f.BodyPause)
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return // the request body is incomplete
	}
	serve := func(w http.ResponseWriter, r *http.Request) {
		f := f.of(r.RequestURI)
		run := p.recordRun(r, string(body), f.IsBad() && (f.Fail || f.Slowdown > 0))
		defer p.finishRun(run, r)
		time.Sleep(f.Delay)
		p.respond(w, r, run, f)
	}
	if p.Room != nil {
		p.serveInRoom(w, r, serve)
		return
	}
	serve(w, r)
}

func (p *Replica) recordRun(r *http.Request, body string, bad bool) *Run {
	h := r.Header
	run := &Run{
		ID: h.Get("X-Attempt-Id"), Replica: p.ID, Method: r.Method, Target: r.RequestURI, Tenant: h.Get("X-Tenant"),
		APIKey: h.Get("Api-Key"), Model: h.Get("X-Model"), Deadline: h.Get("X-Deadline-Ms"), LastEventID: h.Get("Last-Event-Id"),
		Body: body, StartedAt: time.Now(), Bad: bad,
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.runs = append(p.runs, run)
	return run
}

func (p *Replica) finishRun(run *Run, r *http.Request) {
	p.mu.Lock()
	defer p.mu.Unlock()
	run.Done = true
	run.Canceled = r.Context().Err() != nil
}

func (p *Replica) respond(w http.ResponseWriter, r *http.Request, run *Run, f ReplicaFaults) {
	switch {
	case f.DeadlyBody != "" && run.Body == f.DeadlyBody:
		time.Sleep(p.ProcessingTime)
		p.Crash()
		resetConn(w)
		return
	case f.LoseAnswer:
		time.Sleep(p.ProcessingTime)
		if p.Crash != nil {
			p.Crash()
		}
		resetConn(w)
		return
	case f.Mute:
		<-r.Context().Done()
		return
	case f.Endless != "":
		p.writeEndless(w, run, f.Endless)
		return
	}
	if f.Foreign {
		other := *run
		other.ID = "another"
		run = &other
	}
	w.Header().Set("X-Attempt-Id", run.ID)
	if p.Room == nil {
		w.Header().Set("X-Replica-Load", "1,0,8")
	} else {
		p.Room.setHeaders(w.Header())
	}
	if run.Model != "" && !f.Fail {
		p.writeStream(w, r, run, f)
		return
	}
	p.writePlain(w, r, run, f)
}

func (p *Replica) writePlain(w http.ResponseWriter, r *http.Request, run *Run, f ReplicaFaults) {
	time.Sleep(p.ProcessingTime * time.Duration(max(f.Slowdown, 1)))
	status, body := http.StatusOK, "answer to "+run.ID+" "+filling(max(600, f.AnswerBytes))
	if f.Fail {
		status, body = http.StatusInternalServerError, "failure of "+run.ID
	}
	if !f.Unsigned {
		w.Header().Set("X-Response-Signature", Signature(p.ID, run.ID, status, body))
	}
	switch {
	case f.Torn:
		if !f.Unsized {
			w.Header().Set("Content-Length", strconv.Itoa(len(body)))
		}
		w.WriteHeader(status)
		_, _ = io.WriteString(w, body[:len(body)/2]) // the rest is omitted on purpose
		panic(http.ErrAbortHandler)
	case f.Extra, f.Unframed:
		p.writeRaw(w, status, body, f)
	case f.MaxUnread > 0:
		writeUnlessUnread(w, status, body, f.MaxUnread)
	default:
		if !f.Unsized {
			w.Header().Set("Content-Length", strconv.Itoa(len(body)))
		}
		w.WriteHeader(status)
		if r.Method != http.MethodHead {
			_, _ = io.WriteString(w, body) // the context tells whether the client has disconnected
		}
	}
}

// writeRaw writes the response to the connection itself, because net/http would
// refuse to send it in this form.
func (p *Replica) writeRaw(w http.ResponseWriter, status int, body string, f ReplicaFaults) {
	conn, buf, err := http.NewResponseController(w).Hijack()
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	defer func() { _ = conn.Close() }() // closing the connection marks the end of the response
	writeRawHead(buf.Writer, status, w.Header())
	if f.Unframed {
		_, _ = fmt.Fprintf(buf, "Connection: close\r\n\r\n%s", body)
	} else {
		_, _ = fmt.Fprintf(buf, "Content-Length: %d\r\n\r\n%s", len(body), body)
		_, _ = fmt.Fprintf(buf, "HTTP/1.1 200 OK\r\nX-Attempt-Id: stray\r\nContent-Length: 5\r\n\r\nstray")
	}
	_ = buf.Flush() // the client may have disconnected
}

// Event returns the text of one event of a stream.
func Event(requestID, model string, eventID int) string {
	return fmt.Sprintf("id: %d\ndata: %s %s %d\n\n", eventID, requestID, model, eventID)
}

func (p *Replica) writeStream(w http.ResponseWriter, r *http.Request, run *Run, f ReplicaFaults) {
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
	out := newStreamWriter(w, f.Unframed)
	defer out.close()
	lastReceived, err := strconv.Atoi(run.LastEventID)
	if err != nil {
		lastReceived = 0
	}
	for id := lastReceived + 1; id <= p.Events; id++ {
		if r.Context().Err() != nil {
			return
		}
		text := padEvent(Event(run.ID, run.Model, id), f.EventBytes)
		if f.Torn && id == lastReceived+3 { // within the third event of this response
			out.truncate(text[:len(text)/2])
			return
		}
		if err := out.write(text); err != nil {
			return
		}
		if hasSharedPart(r, f.DeadlyPart) {
			p.Crash()
			panic(http.ErrAbortHandler)
		}
		time.Sleep(p.EventInterval * time.Duration(max(f.Slowdown, 1)))
		if id == lastReceived+2 {
			time.Sleep(f.Pause)
		}
	}
}

// hasSharedPart reports whether a part of the request's prompt, other than the
// last, has this ID.
func hasSharedPart(r *http.Request, id string) bool {
	parts := strings.Split(r.Header.Get("X-Prefix-Hash"), ",")
	for _, part := range parts[:len(parts)-1] {
		if name, _, _ := strings.Cut(part, ":"); id != "" && name == id {
			return true
		}
	}
	return false
}
