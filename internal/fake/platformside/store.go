// Package platformside holds stand-ins of the users' platform, written from its
// published protocol: the object store and the replicas, with fault switches.
// Tests and the soak run the real program against them.
package platformside

import (
	"encoding/json"
	"io"
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

// objectsPath is where the store's objects are.
const objectsPath = "/cranberrypier/objects"

// StoreFaults are the switches of a store.
type StoreFaults struct {
	// Status answers every call with this status; zero for none.
	Status int
	// Silent calls are never answered.
	Silent bool
	// Reset closes the connection of every call.
	Reset bool
	// LoseWrites is the share of writes that are done and not answered.
	LoseWrites float64
	// Delay is added to every answer.
	Delay time.Duration
}

// Object is a stored object as it is on the wire.
type Object struct {
	Metadata Metadata        `json:"metadata"`
	Spec     json.RawMessage `json:"spec"`
	Status   json.RawMessage `json:"status"`
}

// Metadata of an object.
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

// Store is the stand-in of the platform's object store.
type Store struct {
	mu       sync.Mutex
	revision uint64
	objects  map[string]map[string]Object
	events   []storeEvent
	first    uint64 // history up to this revision is gone
	silenced int    // watches that began before this count receive nothing more
	wake     chan struct{}
	faults   StoreFaults
	calls    map[string]int
	watching map[string]int // watch calls in progress by kind
}

// NewStore returns an empty store.
func NewStore() *Store {
	return &Store{revision: 1, objects: make(map[string]map[string]Object), wake: make(chan struct{}), calls: make(map[string]int), watching: make(map[string]int)}
}

// SetFaults replaces the fault switches.
func (s *Store) SetFaults(f StoreFaults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = f
}

// Compact drops the history. Watches in progress hear nothing more.
func (s *Store) Compact() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.silenced++
	s.events = nil
	s.first = s.revision
}

// Watching counts the watch calls of a kind that are in progress.
func (s *Store) ActiveWatches(kind string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.watching[kind]
}

func (s *Store) countWatching(kind string, change int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.watching[kind] += change
}

// Calls counts the calls of an operation: list, get, watch, write.
func (s *Store) CallCount(operation string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.calls[operation]
}

// Put writes an object's spec, as operators and replicas do.
func (s *Store) Put(kind, name string, spec any) {
	raw, err := json.Marshal(spec)
	if err != nil {
		panic(err) // the tests' own values
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
	s.event(storeEvent{kind: kind, Object: o, Deleted: true})
}

// Get returns an object as it is now.
func (s *Store) Get(kind, name string) (Object, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	o, ok := s.objects[kind][name]
	return o, ok
}

// commit stores an object under the next revision; the caller holds the lock.
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
	s.event(storeEvent{kind: kind, Object: o})
	return o
}

func (s *Store) event(e storeEvent) {
	s.events = append(s.events, e)
	close(s.wake)
	s.wake = make(chan struct{})
}

// Handler serves the store's calls.
func (s *Store) Handler() http.Handler {
	r := chi.NewRouter()
	r.Use(s.faulty)
	r.Get(objectsPath+"/{kind}", s.listOrWatch)
	r.Get(objectsPath+"/{kind}/{name}", s.get)
	r.Put(objectsPath+"/{kind}/{name}/status", s.putStatus)
	return r
}

// faulty applies the fault switches before and after a call.
func (s *Store) faulty(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		s.mu.Lock()
		f := s.faults
		s.mu.Unlock()
		switch {
		case f.Silent:
			_, _ = io.Copy(io.Discard, r.Body)
			<-r.Context().Done()
			return
		case f.Reset:
			reset(w)
			return
		case f.Status != 0:
			w.WriteHeader(f.Status)
			return
		}
		time.Sleep(f.Delay)
		if r.Method != http.MethodGet && rand.Float64() < f.LoseWrites {
			next.ServeHTTP(&discard{header: make(http.Header)}, r)
			<-r.Context().Done()
			return
		}
		next.ServeHTTP(w, r)
	})
}

// discard is an answer that gets lost.
type discard struct{ header http.Header }

func (d *discard) Header() http.Header         { return d.header }
func (d *discard) Write(b []byte) (int, error) { return len(b), nil }
func (d *discard) WriteHeader(int)             {}

// reset closes a caller's connection with a reset.
func reset(w http.ResponseWriter) {
	conn, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	if tcp, ok := conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0) // makes Close send a reset
	}
	_ = conn.Close()
}

// pageSize is the most entries of one list answer.
const pageSize = 500

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
	for _, name := range names[:min(len(names), pageSize)] {
		page = append(page, s.objects[kind][name])
	}
	at := s.revision
	s.mu.Unlock()
	answer(w, http.StatusOK, map[string]any{"entries": page, "hasMore": len(names) > pageSize, "at": at})
}

func (s *Store) watch(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	after, err := strconv.ParseUint(q.Get("watch"), 10, 64)
	wait, waitErr := strconv.Atoi(q.Get("waitMs"))
	if err != nil || waitErr != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	end := time.After(time.Duration(wait) * time.Millisecond)
	s.mu.Lock()
	s.calls["watch"]++
	began := s.silenced
	s.mu.Unlock()
	s.countWatching(chi.URLParam(r, "kind"), 1)
	defer s.countWatching(chi.URLParam(r, "kind"), -1)
	for {
		s.mu.Lock()
		silent, gone, wake, at, down := s.silenced > began, after < s.first, s.wake, s.revision, s.faults.Silent
		events := s.since(chi.URLParam(r, "kind"), after)
		s.mu.Unlock()
		switch {
		case down:
			<-r.Context().Done()
			return
		case gone && !silent:
			answer(w, http.StatusGone, map[string]any{"error": "history is gone"})
			return
		case len(events) > 0 && !silent:
			answer(w, http.StatusOK, map[string]any{"events": events, "at": at})
			return
		}
		select {
		case <-r.Context().Done():
			return
		case <-end:
			answer(w, http.StatusOK, map[string]any{"events": []storeEvent{}, "at": after})
			return
		case <-wake:
		}
	}
}

func (s *Store) since(kind string, after uint64) []storeEvent {
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
	answer(w, http.StatusOK, o)
}

func (s *Store) putStatus(w http.ResponseWriter, r *http.Request) {
	var in Object
	if err := json.NewDecoder(r.Body).Decode(&in); err != nil || !strings.HasPrefix(r.Header.Get("Content-Type"), "application/json") {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	kind, name := chi.URLParam(r, "kind"), chi.URLParam(r, "name")
	s.mu.Lock()
	s.calls["write"]++
	o, ok := s.objects[kind][name]
	status := http.StatusOK
	switch {
	case !ok:
		status = http.StatusNotFound
	case in.Metadata.Revision != 0 && in.Metadata.Revision != o.Metadata.Revision:
		status = http.StatusConflict
	default:
		o.Status = in.Status
		o = s.commit(kind, name, o)
	}
	s.mu.Unlock()
	answer(w, status, o)
}

func answer(w http.ResponseWriter, status int, body any) {
	raw, err := json.Marshal(body)
	if err != nil {
		panic(err) // the stand-in's own values
	}
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", strconv.Itoa(len(raw)))
	w.WriteHeader(status)
	_, _ = w.Write(raw) // a caller that left does not matter here
}
