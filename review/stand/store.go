//go:build review

package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Figures of the store, from the pages.
const (
	storeAnswerTime = 4 * time.Millisecond
	storeHistory    = 20 * time.Second // historyS
	maxValueBytes   = 1048576
	maxPageEntries  = 500
	maxPageBytes    = 1 << 20
	objectsPath     = "/cranberrypier/objects/"
)

// object is one version of an object; raw is its JSON text.
type object struct {
	name     string
	revision uint64
	created  uint64
	spec     json.RawMessage
	status   json.RawMessage
	raw      []byte
}

type event struct {
	kind    string
	obj     *object
	deleted bool
	at      time.Time
}

// store is a stand-in of the platform's store: linearizable, with a history.
type store struct {
	mu       sync.Mutex
	revision uint64
	objects  map[string]map[string]*object
	events   []event
	floor    uint64 // history up to this revision is gone
	changed  chan struct{}
	down     bool // the connection of every call is reset
	address  string
	server   *http.Server
}

func newStore() (*store, error) {
	s := &store{revision: 1, objects: make(map[string]map[string]*object), changed: make(chan struct{})}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s.address = l.Addr().String()
	s.server = &http.Server{Handler: http.HandlerFunc(s.serve)}
	go func() { _ = s.server.Serve(l) }()
	return s, nil
}

// render returns the JSON text of an object.
func render(o *object) []byte {
	var b bytes.Buffer
	name, _ := json.Marshal(o.name)
	status := o.status
	if status == nil {
		status = json.RawMessage("null")
	}
	fmt.Fprintf(&b, `{"metadata":{"name":%s,"revision":%d,"created":%d,"finalizers":[],"deletionPending":false},"spec":%s,"status":%s}`,
		name, o.revision, o.created, o.spec, status)
	return b.Bytes()
}

// commit stores the next version of an object. The lock must be held.
func (s *store) commit(kind string, o *object) {
	s.revision++
	o.revision = s.revision
	if o.created == 0 {
		o.created = s.revision
	}
	o.raw = render(o)
	if s.objects[kind] == nil {
		s.objects[kind] = make(map[string]*object)
	}
	s.objects[kind][o.name] = o
	s.record(event{kind: kind, obj: o, at: time.Now()})
}

func (s *store) record(e event) {
	s.events = append(s.events, e)
	close(s.changed)
	s.changed = make(chan struct{})
}

// put writes an object's spec as the operator or a replica does, and returns the time
// of the acknowledgement.
func (s *store) put(kind, name string, spec any) time.Time {
	raw, err := json.Marshal(spec)
	if err != nil {
		panic(err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	o := &object{name: name, spec: raw}
	if old := s.objects[kind][name]; old != nil {
		o.created, o.status = old.created, old.status
	}
	s.commit(kind, o)
	if len(o.raw) > maxValueBytes {
		panic("the object is larger than maxValueBytes")
	}
	return time.Now()
}

func (s *store) remove(kind, name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	old := s.objects[kind][name]
	if old == nil {
		return
	}
	delete(s.objects[kind], name)
	s.revision++
	gone := &object{name: name, revision: s.revision, created: old.created, spec: old.spec, status: old.status}
	gone.raw = render(gone)
	s.record(event{kind: kind, obj: gone, deleted: true, at: time.Now()})
}

// size returns the size of an object in bytes.
func (s *store) size(kind, name string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.objects[kind][name].raw)
}

func (s *store) setDown(down bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.down = down
}

func (s *store) isDown() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.down
}

// prune drops the history that is older than storeHistory. The lock must be held.
func (s *store) prune() {
	i := 0
	for i < len(s.events) && time.Since(s.events[i].at) > storeHistory {
		s.floor = s.events[i].obj.revision
		i++
	}
	s.events = slices.Delete(s.events, 0, i)
}

func (s *store) serve(w http.ResponseWriter, r *http.Request) {
	if s.isDown() {
		resetConn(w)
		return
	}
	w.Header().Set("Store-Era", "0")
	w.Header().Set("Content-Type", "application/json")
	parts := strings.Split(strings.TrimPrefix(r.URL.Path, objectsPath), "/")
	switch {
	case r.Method == http.MethodGet && len(parts) == 1 && r.URL.Query().Has("watch"):
		s.watch(w, r, parts[0])
	case r.Method == http.MethodGet && len(parts) == 1:
		s.list(w, r, parts[0])
	case r.Method == http.MethodGet && len(parts) == 2:
		s.mu.Lock()
		o := s.objects[parts[0]][parts[1]]
		s.mu.Unlock()
		time.Sleep(storeAnswerTime)
		if o == nil {
			w.WriteHeader(http.StatusNotFound)
			return
		}
		_, _ = w.Write(o.raw)
	case r.Method == http.MethodPost && len(parts) == 1, r.Method == http.MethodPut:
		s.write(w, r, parts)
	default:
		w.WriteHeader(http.StatusNotFound)
	}
}

func (s *store) write(w http.ResponseWriter, r *http.Request, parts []string) {
	var in struct {
		Metadata struct {
			Name     string `json:"name"`
			Revision uint64 `json:"revision"`
		} `json:"metadata"`
		Spec   json.RawMessage `json:"spec"`
		Status json.RawMessage `json:"status"`
	}
	body, err := io.ReadAll(r.Body)
	if err != nil || json.Unmarshal(body, &in) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	time.Sleep(storeAnswerTime)
	s.mu.Lock()
	defer s.mu.Unlock()
	kind, name := parts[0], in.Metadata.Name
	if len(parts) > 1 {
		name = parts[1]
	}
	old := s.objects[kind][name]
	switch {
	case r.Method == http.MethodPost && old != nil, r.Method == http.MethodPut && old != nil && in.Metadata.Revision != 0 && in.Metadata.Revision != old.revision:
		w.WriteHeader(http.StatusConflict)
		_, _ = w.Write(old.raw)
		return
	case r.Method == http.MethodPut && old == nil:
		w.WriteHeader(http.StatusNotFound)
		return
	}
	o := &object{name: name, spec: in.Spec}
	if old != nil {
		o.created, o.spec, o.status = old.created, old.spec, old.status
		if len(parts) == 3 {
			o.status = in.Status
		} else {
			o.spec = in.Spec
		}
	}
	s.commit(kind, o)
	_, _ = w.Write(o.raw)
}

func (s *store) list(w http.ResponseWriter, r *http.Request, kind string) {
	after := r.URL.Query().Get("after")
	s.mu.Lock()
	names := make([]string, 0, len(s.objects[kind]))
	for name := range s.objects[kind] {
		if name > after {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	var b bytes.Buffer
	b.WriteString(`{"entries":[`)
	taken := 0
	for _, name := range names {
		raw := s.objects[kind][name].raw
		if taken == maxPageEntries || taken > 0 && b.Len()+len(raw) > maxPageBytes {
			break
		}
		if taken > 0 {
			b.WriteByte(',')
		}
		b.Write(raw)
		taken++
	}
	fmt.Fprintf(&b, `],"hasMore":%t,"at":%d}`, taken < len(names), s.revision)
	s.mu.Unlock()
	time.Sleep(storeAnswerTime)
	_, _ = w.Write(b.Bytes())
}

func (s *store) watch(w http.ResponseWriter, r *http.Request, kind string) {
	after, err := strconv.ParseUint(r.URL.Query().Get("watch"), 10, 64)
	waitMS, waitErr := strconv.Atoi(r.URL.Query().Get("waitMs"))
	if err != nil || waitErr != nil || waitMS > 30000 {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	timeout := time.After(time.Duration(waitMS) * time.Millisecond)
	for first := true; ; first = false {
		if s.isDown() {
			resetConn(w)
			return
		}
		s.mu.Lock()
		s.prune()
		gone, at, changed := after < s.floor || after > s.revision, s.revision, s.changed
		var found []event
		for _, e := range s.events {
			if e.kind == kind && e.obj.revision > after {
				found = append(found, e)
			}
		}
		s.mu.Unlock()
		if gone && first {
			time.Sleep(storeAnswerTime)
			w.WriteHeader(http.StatusGone)
			return
		}
		if len(found) > 0 {
			time.Sleep(storeAnswerTime)
			writeEvents(w, found, at)
			return
		}
		select {
		case <-r.Context().Done():
			return
		case <-timeout:
			writeEvents(w, nil, at)
			return
		case <-changed:
		}
	}
}

func writeEvents(w http.ResponseWriter, events []event, at uint64) {
	var b bytes.Buffer
	b.WriteString(`{"events":[`)
	for i, e := range events {
		if i > 0 {
			b.WriteByte(',')
		}
		b.WriteString(`{"object":`)
		b.Write(e.obj.raw)
		fmt.Fprintf(&b, `,"deleted":%t}`, e.deleted)
	}
	fmt.Fprintf(&b, `],"at":%d}`, at)
	_, _ = w.Write(b.Bytes())
}

// resetConn resets the connection of a request.
func resetConn(w http.ResponseWriter) {
	conn, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	if tcp, ok := conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	_ = conn.Close()
}
