// Package platformside has fakes of the users' platform: the object store and
// the replicas. They follow the platform's published protocol and can inject
// faults. Tests and the soak run pier-edge against them.
package platformside

import (
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/go-chi/chi/v5"
)

// objectsPath is the path prefix of the store's objects.
const objectsPath = "/cranberrypier/objects"

// StoreFaults selects the faults that a store injects.
type StoreFaults struct {
	// Status is the HTTP status of the response to every call; zero for no fault.
	Status int
	// Silent leaves every call without a response.
	Silent bool
	// Reset resets the connection of every call.
	Reset bool
	// LoseWrites is the share of writes, 0 to 1, that are applied and get no
	// response.
	LoseWrites float64
	// Delay is the time to wait before every response.
	Delay time.Duration
	// RefusedKind is a kind whose lists and watches get a 503; empty for none.
	RefusedKind string
	// DelayedKind is a kind whose calls take KindDelay longer; empty for none.
	DelayedKind string
	KindDelay   time.Duration
}

// Object is a stored object in its wire format.
type Object struct {
	Metadata Metadata        `json:"metadata"`
	Spec     json.RawMessage `json:"spec"`
	Status   json.RawMessage `json:"status"`
}

// appendTo appends the object as JSON. Its parts are valid JSON and are not checked again:
// a response may have many large ones.
func (o Object) appendTo(b []byte) []byte {
	metadata, err := json.Marshal(o.Metadata)
	if err != nil {
		panic(err) // always marshals
	}
	b = append(append(b, `{"metadata":`...), metadata...)
	b = append(append(b, `,"spec":`...), orNull(o.Spec)...)
	b = append(append(b, `,"status":`...), orNull(o.Status)...)
	return append(b, '}')
}

func orNull(raw json.RawMessage) json.RawMessage {
	if len(raw) == 0 {
		return json.RawMessage("null")
	}
	return raw
}

// Metadata is the metadata of an object.
type Metadata struct {
	Name            string   `json:"name"`
	Revision        uint64   `json:"revision"`
	Created         uint64   `json:"created"`
	Finalizers      []string `json:"finalizers"`
	DeletionPending bool     `json:"deletionPending"`
}

type storeEvent struct {
	kind    string
	Object  Object `json:"object"`
	Deleted bool   `json:"deleted"`
}

// Store is a fake of the platform's object store.
type Store struct {
	mu                sync.Mutex
	revision          uint64
	objects           map[string]map[string]Object
	events            []storeEvent
	compactedRevision uint64 // events up to this revision have been compacted
	compactions       int    // a watch that began before the latest compaction receives no more events
	changed           chan struct{}
	faults            StoreFaults
	calls             map[string]int
	activeWatches     map[string]int // watch calls in progress, by kind
	silences          map[string]int // by kind: watches that began before the latest silence get no response
	era               uint64         // rises when the store is restored from a copy
}

// StoreCopy is a copy of a store's contents.
type StoreCopy struct {
	revision uint64
	objects  map[string]map[string]Object
}

// NewStore returns an empty store.
func NewStore() *Store {
	return &Store{revision: 1, objects: make(map[string]map[string]Object), changed: make(chan struct{}), calls: make(map[string]int), activeWatches: make(map[string]int), silences: make(map[string]int)}
}

// SetFaults replaces the injected faults.
func (s *Store) SetFaults(f StoreFaults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = f
}

// Compact deletes the event history. Watches in progress receive no more events.
func (s *Store) Compact() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.compactions++
	s.events = nil
	s.compactedRevision = s.revision
}

// Copy returns a copy of the store's contents.
func (s *Store) Copy() StoreCopy {
	s.mu.Lock()
	defer s.mu.Unlock()
	return StoreCopy{revision: s.revision, objects: cloneObjects(s.objects)}
}

// Restore replaces the store's contents with a copy of them and begins a new era. It
// closes the connections of all watches. Revisions continue from that of the copy;
// older history is gone.
func (s *Store) Restore(c StoreCopy) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.era++
	s.compactions++
	s.revision, s.objects, s.events, s.compactedRevision = c.revision, cloneObjects(c.objects), nil, c.revision
	close(s.changed)
	s.changed = make(chan struct{})
}

func cloneObjects(objects map[string]map[string]Object) map[string]map[string]Object {
	out := make(map[string]map[string]Object, len(objects))
	for kind, list := range objects {
		out[kind] = maps.Clone(list)
	}
	return out
}

// SilenceWatches leaves the watch calls of a kind that are in progress without a response.
// Later ones work.
func (s *Store) SilenceWatches(kind string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.silences[kind]++
	close(s.changed)
	s.changed = make(chan struct{})
}

// ActiveWatches returns the number of watch calls of a kind that are in progress.
func (s *Store) ActiveWatches(kind string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.activeWatches[kind]
}

func (s *Store) addActiveWatches(kind string, delta int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.activeWatches[kind] += delta
}

// CallCount returns the number of calls of an operation: list, get, watch or write.
func (s *Store) CallCount(operation string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.calls[operation]
}

// Put writes an object's spec, as operators and replicas do.
func (s *Store) Put(kind, name string, spec any) {
	raw, err := json.Marshal(spec)
	if err != nil {
		panic(err) // specs come from tests and always marshal
	}
	s.PutRaw(kind, name, raw)
}

// PutRaw writes any JSON value as an object's spec.
func (s *Store) PutRaw(kind, name string, raw json.RawMessage) {
	s.mu.Lock()
	defer s.mu.Unlock()
	o := s.objects[kind][name]
	o.Spec = raw
	s.commit(kind, name, o)
}

// Remove deletes an object.
func (s *Store) Remove(kind, name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	o, ok := s.objects[kind][name]
	if !ok {
		return
	}
	delete(s.objects[kind], name)
	s.revision++
	o.Metadata.Revision = s.revision
	s.appendEvent(storeEvent{kind: kind, Object: o, Deleted: true})
}

// Get returns the current revision of an object.
func (s *Store) Get(kind, name string) (Object, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	o, ok := s.objects[kind][name]
	return o, ok
}

// commit stores an object under the next revision; the caller must hold s.mu.
func (s *Store) commit(kind, name string, o Object) Object {
	s.revision++
	o.Metadata.Name = name
	o.Metadata.Revision = s.revision
	if o.Metadata.Created == 0 {
		o.Metadata.Created = s.revision
	}
	if s.objects[kind] == nil {
		s.objects[kind] = make(map[string]Object)
	}
	s.objects[kind][name] = o
	s.appendEvent(storeEvent{kind: kind, Object: o})
	return o
}

func (s *Store) appendEvent(e storeEvent) {
	s.events = append(s.events, e)
	close(s.changed)
	s.changed = make(chan struct{})
}

// Handler returns the HTTP handler of the store's API.
func (s *Store) Handler() http.Handler {
	r := chi.NewRouter()
	r.Use(s.injectFaults)
	r.Get(objectsPath+"/{kind}", s.listOrWatch)
	r.Get(objectsPath+"/{kind}/{name}", s.get)
	r.Post(objectsPath+"/{kind}", s.create)
	r.Put(objectsPath+"/{kind}/{name}", s.putSpec)
	r.Put(objectsPath+"/{kind}/{name}/status", s.putStatus)
	return r
}

// injectFaults wraps a handler with the faults that are set.
func (s *Store) injectFaults(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		s.mu.Lock()
		f := s.faults
		w.Header().Set("Store-Era", strconv.FormatUint(s.era, 10))
		s.mu.Unlock()
		switch {
		case f.Silent:
			_, _ = io.Copy(io.Discard, r.Body)
			<-r.Context().Done()
			return
		case f.Reset:
			resetConn(w)
			return
		case f.Status != 0:
			w.WriteHeader(f.Status)
			return
		case f.RefusedKind != "" && strings.HasPrefix(r.URL.Path, objectsPath+"/"+f.RefusedKind):
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		time.Sleep(f.Delay)
		if f.DelayedKind != "" && strings.HasPrefix(r.URL.Path, objectsPath+"/"+f.DelayedKind) {
			time.Sleep(f.KindDelay)
		}
		if r.Method != http.MethodGet && rand.Float64() < f.LoseWrites {
			next.ServeHTTP(&discardWriter{header: make(http.Header)}, r)
			<-r.Context().Done()
			return
		}
		next.ServeHTTP(w, r)
	})
}

// discardWriter discards a response, as if it had been lost on the way.
type discardWriter struct{ header http.Header }

func (d *discardWriter) Header() http.Header         { return d.header }
func (d *discardWriter) Write(b []byte) (int, error) { return len(b), nil }
func (d *discardWriter) WriteHeader(int)             {}

// resetConn closes a client's connection with a TCP reset.
func resetConn(w http.ResponseWriter) {
	conn, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	if tcp, ok := conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0) // makes Close send a TCP reset
	}
	_ = conn.Close()
}

// maxPageSize is the maximum number of entries in one list response.
const maxPageSize = 500

func (s *Store) listOrWatch(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	if q.Has("watch") {
		s.watch(w, r)
		return
	}
	kind, after := chi.URLParam(r, "kind"), q.Get("after")
	s.mu.Lock()
	s.calls["list"]++
	names := make([]string, 0, len(s.objects[kind]))
	for name := range s.objects[kind] {
		if name > after {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	page := make([]Object, 0, len(names))
	for _, name := range names[:min(len(names), maxPageSize)] {
		page = append(page, s.objects[kind][name])
	}
	revision := s.revision
	s.mu.Unlock()
	body := []byte(`{"entries":[`)
	for i, o := range page {
		if i > 0 {
			body = append(body, ',')
		}
		body = o.appendTo(body)
	}
	writeRaw(w, http.StatusOK, fmt.Appendf(body, `],"hasMore":%t,"at":%d}`, len(names) > maxPageSize, revision))
}

func (s *Store) watch(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	after, err := strconv.ParseUint(q.Get("watch"), 10, 64)
	waitMs, waitErr := strconv.Atoi(q.Get("waitMs"))
	if err != nil || waitErr != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	timeout := time.After(time.Duration(waitMs) * time.Millisecond)
	s.mu.Lock()
	s.calls["watch"]++
	kind := chi.URLParam(r, "kind")
	compactionsAtStart, eraAtStart, silencesAtStart := s.compactions, s.era, s.silences[kind]
	s.mu.Unlock()
	s.addActiveWatches(kind, 1)
	defer s.addActiveWatches(kind, -1)
	for {
		s.mu.Lock()
		compactedDuringWatch, afterIsGone, changed, revision, unresponsive := s.compactions > compactionsAtStart, after < s.compactedRevision || after > s.revision, s.changed, s.revision, s.faults.Silent || s.silences[kind] > silencesAtStart
		restored := s.era > eraAtStart
		events := s.eventsAfter(kind, after)
		s.mu.Unlock()
		switch {
		case restored:
			panic(http.ErrAbortHandler)
		case unresponsive:
			<-r.Context().Done()
			return
		case afterIsGone && !compactedDuringWatch:
			writeJSON(w, http.StatusGone, map[string]any{"error": "history is gone"})
			return
		case len(events) > 0 && !compactedDuringWatch:
			body := []byte(`{"events":[`)
			for i, e := range events {
				if i > 0 {
					body = append(body, ',')
				}
				body = fmt.Appendf(e.Object.appendTo(append(body, `{"object":`...)), `,"deleted":%t}`, e.Deleted)
			}
			writeRaw(w, http.StatusOK, fmt.Appendf(body, `],"at":%d}`, revision))
			return
		}
		select {
		case <-r.Context().Done():
			return
		case <-timeout:
			writeJSON(w, http.StatusOK, map[string]any{"events": []storeEvent{}, "at": revision})
			return
		case <-changed:
		}
	}
}

func (s *Store) eventsAfter(kind string, after uint64) []storeEvent {
	var out []storeEvent
	for _, e := range s.events {
		if e.kind == kind && e.Object.Metadata.Revision > after {
			out = append(out, e)
		}
	}
	return out
}

func (s *Store) get(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	s.calls["get"]++
	s.mu.Unlock()
	o, ok := s.Get(chi.URLParam(r, "kind"), chi.URLParam(r, "name"))
	if !ok {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	writeJSON(w, http.StatusOK, o)
}

func (s *Store) create(w http.ResponseWriter, r *http.Request) {
	in, ok := decodeObject(w, r)
	if !ok {
		return
	}
	kind, name := chi.URLParam(r, "kind"), in.Metadata.Name
	s.mu.Lock()
	s.calls["write"]++
	o, exists := s.objects[kind][name]
	status := http.StatusConflict
	if !exists {
		status = http.StatusCreated
		o = s.commit(kind, name, Object{Metadata: Metadata{Name: name}, Spec: in.Spec})
	}
	s.mu.Unlock()
	writeJSON(w, status, o)
}

func (s *Store) putSpec(w http.ResponseWriter, r *http.Request) {
	s.replace(w, r, func(o *Object, in Object) { o.Spec = in.Spec })
}

func (s *Store) putStatus(w http.ResponseWriter, r *http.Request) {
	s.replace(w, r, func(o *Object, in Object) { o.Status = in.Status })
}

// replace changes an object unless it has another revision than the request.
func (s *Store) replace(w http.ResponseWriter, r *http.Request, change func(o *Object, in Object)) {
	in, ok := decodeObject(w, r)
	if !ok {
		return
	}
	kind, name := chi.URLParam(r, "kind"), chi.URLParam(r, "name")
	s.mu.Lock()
	s.calls["write"]++
	o, exists := s.objects[kind][name]
	status := http.StatusOK
	switch {
	case !exists:
		status = http.StatusNotFound
	case in.Metadata.Revision != 0 && in.Metadata.Revision != o.Metadata.Revision:
		status = http.StatusConflict
	default:
		change(&o, in)
		o = s.commit(kind, name, o)
	}
	s.mu.Unlock()
	writeJSON(w, status, o)
}

// decodeObject decodes the body of a write, or responds with an error.
func decodeObject(w http.ResponseWriter, r *http.Request) (in Object, ok bool) {
	if err := json.NewDecoder(r.Body).Decode(&in); err != nil || !strings.HasPrefix(r.Header.Get("Content-Type"), "application/json") {
		w.WriteHeader(http.StatusBadRequest)
		return in, false
	}
	return in, true
}

func writeJSON(w http.ResponseWriter, status int, body any) {
	raw, err := json.Marshal(body)
	if err != nil {
		panic(err) // bodies come from the fake and always marshal
	}
	writeRaw(w, status, raw)
}

func writeRaw(w http.ResponseWriter, status int, raw []byte) {
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", strconv.Itoa(len(raw)))
	w.WriteHeader(status)
	_, _ = w.Write(raw) // the client may have disconnected
}
