// Package objectstore is a stand-in for the object store of the platform. It
// serves the in-memory store over the HTTP protocol of docs/PROTOCOLS.md, with
// rate limits.
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

	"github.com/cranberrypier/cranberrypier/internal/ctxwait"
	"github.com/cranberrypier/cranberrypier/internal/fake/faults"
	"github.com/cranberrypier/cranberrypier/internal/platform"
	"github.com/cranberrypier/cranberrypier/internal/platform/memory"
	"github.com/cranberrypier/cranberrypier/internal/result"
)

// Settings configures one object store.
type Settings struct {
	// WritesPerSecond and ReadsPerSecond are the rate limits. Zero means no limit.
	// A watch counts as one read, however long it waits.
	WritesPerSecond float64 `yaml:"writes_per_second"`
	ReadsPerSecond  float64 `yaml:"reads_per_second"`
	// VMs is the initial list of VMs.
	VMs []VM `yaml:"vms"`
}

// VM is an entry of the list of VMs.
type VM struct {
	Name    string `yaml:"name"`
	Zone    string `yaml:"zone"`
	Address string `yaml:"address"`
	Kind    string `yaml:"kind"`
	Leaving bool   `yaml:"leaving"`
}

func (s Settings) platformVMs() []platform.VM {
	out := make([]platform.VM, 0, len(s.VMs))
	for _, v := range s.VMs {
		out = append(out, platform.VM(v))
	}
	return out
}

// maxWatchTime bounds the duration of a watch.
const maxWatchTime = time.Minute

// Service is the stand-in for the object store.
type Service struct {
	Server *faults.Server
	Store  *memory.Store

	writeLimiter, readLimiter *rate.Limiter
	counters                  counters
	vmHistory                 vmHistory
}

// New returns a service whose server is not started.
func New(name string, settings Settings) *Service {
	s := &Service{
		Store:        memory.New(),
		writeLimiter: newLimiter(settings.WritesPerSecond),
		readLimiter:  newLimiter(settings.ReadsPerSecond),
	}
	s.SetVMs(settings.platformVMs())
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

func newLimiter(perSecond float64) *rate.Limiter {
	if perSecond <= 0 {
		return rate.NewLimiter(rate.Inf, 0)
	}
	return rate.NewLimiter(rate.Limit(perSecond), int(math.Ceil(perSecond)))
}

// admit counts a call. If the call exceeds the rate limit, admit rejects it with
// status 429 and returns false.
func (s *Service) admit(w http.ResponseWriter, op memory.Op) bool {
	limiter := s.readLimiter
	if op.Verb.Writes() {
		limiter = s.writeLimiter
	}
	ok := limiter.Allow()
	s.counters.count(time.Now(), op, ok)
	if !ok {
		w.Header().Set("Retry-After", "1")
		http.Error(w, "over the rate", http.StatusTooManyRequests)
	}
	return ok
}

func (s *Service) get(w http.ResponseWriter, r *http.Request) {
	kind, name := objectKindAndName(r)
	if !s.admit(w, memory.Op{Verb: memory.Get, Kind: kind}) {
		return
	}
	o, err := s.Store.Get(r.Context(), kind, name)
	if err != nil {
		writeError(w, err)
		return
	}
	s.delayAnswer(r)
	w.Header().Set("ETag", formatETag(o.Version))
	w.Header().Set("Content-Type", "application/octet-stream")
	_, _ = w.Write(o.Value)
}

func (s *Service) put(w http.ResponseWriter, r *http.Request) {
	kind, name := objectKindAndName(r)
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
		base, invalid := parseETag(r.Header.Get("If-Match"))
		if invalid {
			http.Error(w, "If-Match or If-None-Match is required", http.StatusBadRequest)
			return
		}
		v, err = s.Store.Update(r.Context(), kind, name, base, value)
	}
	s.finishWrite(w, r, v, err)
}

func (s *Service) remove(w http.ResponseWriter, r *http.Request) {
	kind, name := objectKindAndName(r)
	if !s.admit(w, memory.Op{Verb: memory.Delete, Kind: kind}) {
		return
	}
	base, invalid := parseETag(r.Header.Get("If-Match"))
	if invalid {
		http.Error(w, "If-Match is required", http.StatusBadRequest)
		return
	}
	err := s.Store.Delete(r.Context(), kind, name, base)
	s.finishWrite(w, r, 0, err)
}

// finishWrite sends the answer to a write, unless the LostAnswer fault breaks the
// connection after the write has been processed.
func (s *Service) finishWrite(w http.ResponseWriter, r *http.Request, v platform.Version, err error) {
	s.delayAnswer(r)
	if s.Server.Switches.Select(faults.LostAnswer, callName(r)) != nil {
		panic(http.ErrAbortHandler)
	}
	if err != nil {
		writeError(w, err)
		return
	}
	w.Header().Set("ETag", formatETag(v))
	w.WriteHeader(http.StatusOK)
}

func (s *Service) list(w http.ResponseWriter, r *http.Request) {
	kind := chi.URLParam(r, "kind")
	if !s.admit(w, memory.Op{Verb: memory.List, Kind: kind}) {
		return
	}
	objects, revision, err := s.Store.ListAt(r.Context(), kind, r.URL.Query().Get("prefix"))
	if err != nil {
		writeError(w, err)
		return
	}
	s.delayAnswer(r)
	faults.WriteJSON(w, http.StatusOK, platform.ListBody{Revision: revision, Objects: objectBodies(objects)})
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
	ctx, cancel := context.WithTimeout(r.Context(), min(wait, maxWatchTime))
	defer cancel()
	objects, revision, err := s.Store.Watch(ctx, kind, after)
	if err != nil {
		writeError(w, err)
		return
	}
	s.delayAnswer(r)
	faults.WriteJSON(w, http.StatusOK, platform.ListBody{Revision: revision, Objects: objectBodies(objects)})
}

func (s *Service) listVMs(w http.ResponseWriter, r *http.Request) {
	if !s.admit(w, memory.Op{Verb: memory.VMs}) {
		return
	}
	vms, err := s.Store.VMs(r.Context())
	if err != nil {
		writeError(w, err)
		return
	}
	if lag := time.Duration(s.Server.Switches.Get().StaleMS) * time.Millisecond; lag > 0 {
		vms = s.vmHistory.at(time.Now().Add(-lag))
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

// SetVMs replaces the list of VMs and records the new list.
func (s *Service) SetVMs(vms []platform.VM) {
	s.vmHistory.set(time.Now(), vms)
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

// delayAnswer applies the Late fault after the call has been processed.
func (s *Service) delayAnswer(r *http.Request) {
	if rule := s.Server.Switches.Select(faults.Late, callName(r)); rule != nil {
		ctxwait.For(r.Context(), rule.Delay())
	}
}

func callName(r *http.Request) string { return r.Method + " " + r.URL.Path }

// objectKindAndName returns the decoded kind and name in the path of an object.
func objectKindAndName(r *http.Request) (kind, name string) {
	kind, name = chi.URLParam(r, "kind"), chi.URLParam(r, "*")
	if r.URL.RawPath == "" {
		return kind, name
	}
	if n, err := url.PathUnescape(name); err == nil {
		name = n
	}
	return kind, name
}

func formatETag(v platform.Version) string { return `"` + strconv.FormatUint(uint64(v), 10) + `"` }

func parseETag(etag string) (v platform.Version, invalid bool) {
	n, err := strconv.ParseUint(strings.Trim(etag, `"`), 10, 64)
	return platform.Version(n), err != nil
}

func objectBodies(objects []platform.Object) []platform.ObjectBody {
	out := make([]platform.ObjectBody, 0, len(objects))
	for _, o := range objects {
		out = append(out, platform.ObjectBody{Name: o.Name, Version: o.Version, Value: o.Value})
	}
	return out
}

// writeError sends the status for an error of the store. If the error leaves open
// whether the call took effect, writeError breaks the connection instead.
func writeError(w http.ResponseWriter, err error) {
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
