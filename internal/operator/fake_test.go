package operator

import (
	"crypto/tls"
	"encoding/json"
	"io"
	"log"
	"net/http"
	"net/http/httptest"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/cranberrypier/cranberrypier/internal/document"
	"github.com/cranberrypier/cranberrypier/internal/membership"
	"github.com/cranberrypier/cranberrypier/internal/pki"
	"github.com/cranberrypier/cranberrypier/internal/result"
	"github.com/cranberrypier/cranberrypier/internal/timeline"
)

// fault is what goes wrong at a fake agent on one document write.
type fault string

const (
	none        fault = ""
	cutBefore   fault = "cut before the write"
	cutAfter    fault = "cut after the write"
	unsureDone  fault = "platform unsure, written"
	unsureLost  fault = "platform unsure, not written"
	unavailable fault = "platform away"
	silent      fault = "no answer in time, written"
	nonsense    fault = "a status without a refusal"
)

// fleet is the state behind all fake agents: one conditional document.
type fleet struct {
	mu         sync.Mutex
	doc        *document.Document
	generation uint64
	writes     int
	// faults are consumed by document writes in order.
	faults []fault
	// after is called once after the first write, before its answer.
	after func(f *fleet)
	// lag is how many reads still see the generation before.
	lag     int
	old     *document.Document
	members []Member
	events  []timeline.Event
	drained []string
}

func (f *fleet) accept(d *document.Document) {
	f.old = f.doc
	f.doc = d
	f.generation++
	f.writes++
}

func (f *fleet) serve(w http.ResponseWriter, r *http.Request) {
	f.mu.Lock()
	defer f.mu.Unlock()
	switch r.Method + " " + r.URL.Path {
	case "GET " + PathDocument:
		d, g := f.doc, f.generation
		if f.lag > 0 {
			f.lag--
			d, g = f.old, f.generation-1
		}
		b, _ := document.Encode(d)
		w.Header().Set(HeaderGeneration, strconv.FormatUint(g, 10))
		w.Write(b)
	case "PUT " + PathDocument:
		f.put(w, r)
	case "GET " + PathStatus:
		json.NewEncoder(w).Encode(Status{VM: "vm-1", Zone: "az-a", Generation: f.generation, Members: f.members})
	case "GET " + PathTimeline:
		json.NewEncoder(w).Encode(Timeline{Events: f.events, Missing: []string{"vm-3"}})
	case "POST " + PathDrain:
		var d DrainRequest
		json.NewDecoder(r.Body).Decode(&d)
		f.drained = append(f.drained, d.VM)
		json.NewEncoder(w).Encode(DrainResponse{VM: d.VM})
	}
}

func (f *fleet) put(w http.ResponseWriter, r *http.Request) {
	b, _ := io.ReadAll(r.Body)
	next := none
	if len(f.faults) > 0 {
		next, f.faults = f.faults[0], f.faults[1:]
	}
	switch next {
	case cutBefore:
		panic(http.ErrAbortHandler)
	case unavailable:
		refuse(w, result.New(result.PlatformUnavailable, "down"), 0)
		return
	case unsureLost:
		refuse(w, result.New(result.DocumentUnknown, "unsure"), 0)
		return
	case nonsense:
		w.WriteHeader(http.StatusBadGateway)
		return
	}
	d, err := document.Load(b)
	if err != nil {
		refuse(w, err, 0)
		return
	}
	if base, _ := strconv.ParseUint(r.URL.Query().Get(QueryBase), 10, 64); base != f.generation {
		refuse(w, result.New(result.DocumentConflict, "generation %d is in force", f.generation), f.generation)
		return
	}
	f.accept(d)
	if f.after != nil {
		f.after(f)
		f.after = nil
	}
	switch next {
	case cutAfter:
		panic(http.ErrAbortHandler)
	case unsureDone:
		refuse(w, result.New(result.DocumentUnknown, "unsure"), 0)
	case silent:
		f.mu.Unlock()
		<-r.Context().Done()
		f.mu.Lock()
	default:
		json.NewEncoder(w).Encode(SubmitResponse{Generation: f.generation})
	}
}

func refuse(w http.ResponseWriter, err error, generation uint64) {
	r := NewErrorResponse(err)
	r.Generation = generation
	w.WriteHeader(r.Code.Info().HTTPStatus)
	json.NewEncoder(w).Encode(r)
}

// agents starts n agents over one fleet and returns their addresses with the
// directory of the operator's certificate.
func agents(t *testing.T, f *fleet, n int) ([]string, string) {
	t.Helper()
	dir := t.TempDir()
	_, err := pki.Create(dir, "demo", []string{"vm-1"}, time.Now())
	require.NoError(t, err)
	store := openStore(t, dir, "vm-1-agent")
	var out []string
	for range n {
		s := httptest.NewUnstartedServer(http.HandlerFunc(f.serve))
		// StartTLS would add a certificate of its own.
		s.Listener = tls.NewListener(s.Listener, store.Server(pki.RoleOperator))
		s.Config.ErrorLog = log.New(io.Discard, "", 0)
		s.Start()
		t.Cleanup(s.Close)
		out = append(out, strings.TrimPrefix(s.URL, "http://"))
	}
	return out, dir
}

func openStore(t *testing.T, dir, name string) *pki.Store {
	t.Helper()
	s, err := pki.Open(pki.Paths{
		Certificate: filepath.Join(dir, name+".pem"),
		Key:         filepath.Join(dir, name+"-key.pem"),
		Authority:   filepath.Join(dir, pki.AuthorityFile),
	}, "demo")
	require.NoError(t, err)
	return s
}

func member(vm string, status membership.Status, generation uint64) Member {
	return Member{VM: vm, Zone: "az-a", Status: status, Generation: generation, RouterUp: true}
}
