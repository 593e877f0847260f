// Package objectstore is the stand-in of the platform's object service: the
// in-memory store behind the HTTP form of docs/PROTOCOLS.md, with rate limits.
package objectstore

import (
	"context"
	"encoding/json"
	"io"
	"math"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"time"

	"github.com/go-chi/chi/v5"
	"golang.org/x/time/rate"

	"github.com/cranberrypier/cranberrypier/internal/fake/faults"
	"github.com/cranberrypier/cranberrypier/internal/pause"
	"github.com/cranberrypier/cranberrypier/internal/platform"
	"github.com/cranberrypier/cranberrypier/internal/platform/memory"
	"github.com/cranberrypier/cranberrypier/internal/result"
)

// Settings of one object service.
type Settings struct {
	// WritesPerSecond and ReadsPerSecond are the service's limits; zero means
	// no limit. A waiting watch counts as one read.
	WritesPerSecond float64 `yaml:"writes_per_second"`
	ReadsPerSecond  float64 `yaml:"reads_per_second"`
	// VMs is the first list of VMs.
	VMs []VM `yaml:"vms"`
}

// VM is a row of the list of VMs.
type VM struct {
	Name    string `yaml:"name"`
	Zone    string `yaml:"zone"`
	Address string `yaml:"address"`
	Kind    string `yaml:"kind"`
	Leaving bool   `yaml:"leaving"`
}

func (s Settings) rows() []platform.VM {
	out := make([]platform.VM, 0, len(s.VMs))
	for _, v := range s.VMs {
		out = append(out, platform.VM(v))
	}
	return out
}

// maxWait bounds a watch.
const maxWait = time.Minute

// Service is the stand-in.
type Service struct {
	Server *faults.Server
	Store  *memory.Store

	writes, reads *rate.Limiter
	counters      counters
	vms           vmHistory
}

// New returns a service that does not listen yet.
func New(name string, set Settings) *Service {
	s := &Service{
		Store:  memory.New(),
		writes: limiter(set.WritesPerSecond),
		reads:  limiter(set.ReadsPerSecond),
	}
	s.SetVMs(set.rows())
	s.Server = faults.NewServer(name, func() any { return s.counters.report(s.Store.Revision()) })
	c := s.Server.ControlRouter()
	c.Get("/history/{kind}", s.history)
	c.Put("/vms", s.putVMs)
	w := s.Server.WorkRouter()
	w.Get("/v1/objects/{kind}", s.list)
	w.Get("/v1/objects/{kind}/*", s.get)
	w.Put("/v1/objects/{kind}/*", s.put)
	w.Delete("/v1/objects/{kind}/*", s.remove)
	w.Get("/v1/watch/{kind}", s.watch)
	w.Get("/v1/vms", s.listVMs)
	return s
}

func limiter(perSecond float64) *rate.Limiter {
	if perSecond <= 0 {
		return rate.NewLimiter(rate.Inf, 0)
	}
	return rate.NewLimiter(rate.Limit(perSecond), int(math.Ceil(perSecond)))
}

// admit counts a call and refuses it over the rate.
func (s *Service) admit(w http.ResponseWriter, op memory.Op) bool {
	l := s.reads
	if op.Verb.Writes() {
		l = s.writes
	}
	ok := l.Allow()
	s.counters.count(time.Now(), op, ok)
	if !ok {
		w.Header().Set("Retry-After", "1")
		http.Error(w, "over the rate", http.StatusTooManyRequests)
	}
	return ok
}

func (s *Service) get(w http.ResponseWriter, r *http.Request) {
	kind, name := names(r)
	if !s.admit(w, memory.Op{Verb: memory.Get, Kind: kind}) {
		return
	}
	o, err := s.Store.Get(r.Context(), kind, name)
	if err != nil {
		fail(w, err)
		return
	}
	s.late(r)
	w.Header().Set("ETag", tag(o.Version))
	w.Header().Set("Content-Type", "application/octet-stream")
	_, _ = w.Write(o.Value)
}

func (s *Service) put(w http.ResponseWriter, r *http.Request) {
	kind, name := names(r)
	op := memory.Op{Verb: memory.Update, Kind: kind}
	if r.Header.Get("If-None-Match") == "*" {
		op.Verb = memory.Create
	}
	if !s.admit(w, op) {
		return
	}
	value, err := io.ReadAll(http.MaxBytesReader(w, r.Body, platform.MaxValueBytes))
	if err != nil {
		http.Error(w, "value too large", http.StatusRequestEntityTooLarge)
		return
	}
	var v platform.Version
	if op.Verb == memory.Create {
		v, err = s.Store.Create(r.Context(), kind, name, value)
	} else {
		base, bad := version(r.Header.Get("If-Match"))
		if bad {
			http.Error(w, "If-Match or If-None-Match is required", http.StatusBadRequest)
			return
		}
		v, err = s.Store.Update(r.Context(), kind, name, base, value)
	}
	s.finishWrite(w, r, v, err)
}

func (s *Service) remove(w http.ResponseWriter, r *http.Request) {
	kind, name := names(r)
	if !s.admit(w, memory.Op{Verb: memory.Delete, Kind: kind}) {
		return
	}
	base, bad := version(r.Header.Get("If-Match"))
	if bad {
		http.Error(w, "If-Match is required", http.StatusBadRequest)
		return
	}
	err := s.Store.Delete(r.Context(), kind, name, base)
	s.finishWrite(w, r, 0, err)
}

// finishWrite answers a write, or loses its answer.
func (s *Service) finishWrite(w http.ResponseWriter, r *http.Request, v platform.Version, err error) {
	s.late(r)
	if s.Server.Switches.Select(faults.LostAnswer, callName(r)) != nil {
		panic(http.ErrAbortHandler)
	}
	if err != nil {
		fail(w, err)
		return
	}
	w.Header().Set("ETag", tag(v))
	w.WriteHeader(http.StatusOK)
}

func (s *Service) list(w http.ResponseWriter, r *http.Request) {
	kind := chi.URLParam(r, "kind")
	if !s.admit(w, memory.Op{Verb: memory.List, Kind: kind}) {
		return
	}
	objects, revision, err := s.Store.ListAt(r.Context(), kind, r.URL.Query().Get("prefix"))
	if err != nil {
		fail(w, err)
		return
	}
	s.late(r)
	faults.WriteJSON(w, http.StatusOK, platform.ListBody{Revision: revision, Objects: rows(objects)})
}

func (s *Service) watch(w http.ResponseWriter, r *http.Request) {
	kind := chi.URLParam(r, "kind")
	if !s.admit(w, memory.Op{Verb: memory.Watch, Kind: kind}) {
		return
	}
	after, err := strconv.ParseUint(r.URL.Query().Get("after"), 10, 64)
	wait, errWait := time.ParseDuration(r.URL.Query().Get("wait"))
	if err != nil || errWait != nil {
		http.Error(w, "after and wait are required", http.StatusBadRequest)
		return
	}
	ctx, cancel := context.WithTimeout(r.Context(), min(wait, maxWait))
	defer cancel()
	objects, revision, err := s.Store.Watch(ctx, kind, after)
	if err != nil {
		fail(w, err)
		return
	}
	s.late(r)
	faults.WriteJSON(w, http.StatusOK, platform.ListBody{Revision: revision, Objects: rows(objects)})
}

func (s *Service) listVMs(w http.ResponseWriter, r *http.Request) {
	if !s.admit(w, memory.Op{Verb: memory.VMs}) {
		return
	}
	vms, err := s.Store.VMs(r.Context())
	if err != nil {
		fail(w, err)
		return
	}
	if lag := time.Duration(s.Server.Switches.Get().StaleMS) * time.Millisecond; lag > 0 {
		vms = s.vms.at(time.Now().Add(-lag))
	}
	faults.WriteJSON(w, http.StatusOK, platform.VMsBody{VMs: vms})
}

func (s *Service) putVMs(w http.ResponseWriter, r *http.Request) {
	var body platform.VMsBody
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, platform.MaxValueBytes)).Decode(&body); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	s.SetVMs(body.VMs)
	w.WriteHeader(http.StatusNoContent)
}

// SetVMs replaces the list of VMs.
func (s *Service) SetVMs(vms []platform.VM) {
	s.vms.set(time.Now(), vms)
	s.Store.SetVMs(vms)
}

func (s *Service) history(w http.ResponseWriter, r *http.Request) {
	kind := chi.URLParam(r, "kind")
	if kind == "all" {
		kind = ""
	}
	enc := json.NewEncoder(w)
	for _, write := range s.Store.History(kind) {
		if enc.Encode(write) != nil {
			return
		}
	}
}

// late delays an answer after the work.
func (s *Service) late(r *http.Request) {
	if rule := s.Server.Switches.Select(faults.Late, callName(r)); rule != nil {
		pause.For(r.Context(), rule.Delay())
	}
}

func callName(r *http.Request) string { return r.Method + " " + r.URL.Path }

// names returns the decoded kind and name of an object's path.
func names(r *http.Request) (kind, name string) {
	kind, name = chi.URLParam(r, "kind"), chi.URLParam(r, "*")
	if r.URL.RawPath == "" {
		return kind, name
	}
	if n, err := url.PathUnescape(name); err == nil {
		name = n
	}
	return kind, name
}

func tag(v platform.Version) string { return `"` + strconv.FormatUint(uint64(v), 10) + `"` }

func version(etag string) (v platform.Version, bad bool) {
	n, err := strconv.ParseUint(strings.Trim(etag, `"`), 10, 64)
	return platform.Version(n), err != nil
}

func rows(objects []platform.Object) []platform.ObjectBody {
	out := make([]platform.ObjectBody, 0, len(objects))
	for _, o := range objects {
		out = append(out, platform.ObjectBody{Name: o.Name, Version: o.Version, Value: o.Value})
	}
	return out
}

// fail writes the status of a store's error. An error that hides whether the
// call took effect breaks the connection.
func fail(w http.ResponseWriter, err error) {
	e := result.From(err)
	status := 0
	switch e.Code {
	case result.PlatformNotFound:
		status = http.StatusNotFound
	case result.PlatformConflict:
		status = http.StatusPreconditionFailed
	case result.PlatformTooLarge:
		status = http.StatusRequestEntityTooLarge
	case result.PlatformBusy:
		w.Header().Set("Retry-After", "1")
		status = http.StatusTooManyRequests
	default:
		panic(http.ErrAbortHandler)
	}
	http.Error(w, e.Detail, status)
}
