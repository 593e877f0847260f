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

// fault is a failure that a fake agent injects into one document write.
type fault string

const (
	noFault           fault = ""
	cutBeforeWrite    fault = "connection cut before the write"
	cutAfterWrite     fault = "connection cut after the write"
	unknownWritten    fault = "outcome unknown, written"
	unknownNotWritten fault = "outcome unknown, not written"
	unavailable       fault = "platform unavailable"
	noResponse        fault = "no response in time, written"
	emptyErrorBody    fault = "error status with an empty body"
)

// fleet is the state that all fake agents share: one document with conditional
// writes.
type fleet struct {
	mu         sync.Mutex
	doc        *document.Document
	generation uint64
	writes     int
	// faults are injected into document writes, one each, in order.
	faults []fault
	// afterFirstWrite is called once, after the first write and before its
	// response.
	afterFirstWrite func(f *fleet)
	// staleReads is the number of reads that still return the previous
	// generation.
	staleReads int
	previous   *document.Document
	members    []Member
	events     []timeline.Event
	drained    []string
}

func (f *fleet) accept(d *document.Document) {
	f.previous = f.doc
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
		if f.staleReads > 0 {
			f.staleReads--
			d, g = f.previous, f.generation-1
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
	body, _ := io.ReadAll(r.Body)
	injected := noFault
	if len(f.faults) > 0 {
		injected, f.faults = f.faults[0], f.faults[1:]
	}
	switch injected {
	case cutBeforeWrite:
		panic(http.ErrAbortHandler)
	case unavailable:
		writeError(w, result.New(result.PlatformUnavailable, "down"), 0)
		return
	case unknownNotWritten:
		writeError(w, result.New(result.DocumentUnknown, "unsure"), 0)
		return
	case emptyErrorBody:
		w.WriteHeader(http.StatusBadGateway)
		return
	}
	d, err := document.Load(body)
	if err != nil {
		writeError(w, err, 0)
		return
	}
	if base, _ := strconv.ParseUint(r.URL.Query().Get(QueryBase), 10, 64); base != f.generation {
		writeError(w, result.New(result.DocumentConflict, "generation %d is in force", f.generation), f.generation)
		return
	}
	f.accept(d)
	if f.afterFirstWrite != nil {
		f.afterFirstWrite(f)
		f.afterFirstWrite = nil
	}
	switch injected {
	case cutAfterWrite:
		panic(http.ErrAbortHandler)
	case unknownWritten:
		writeError(w, result.New(result.DocumentUnknown, "unsure"), 0)
	case noResponse:
		f.mu.Unlock()
		<-r.Context().Done()
		f.mu.Lock()
	default:
		json.NewEncoder(w).Encode(SubmitResponse{Generation: f.generation})
	}
}

func writeError(w http.ResponseWriter, err error, generation uint64) {
	r := NewErrorResponse(err)
	r.Generation = generation
	w.WriteHeader(r.Code.Info().HTTPStatus)
	json.NewEncoder(w).Encode(r)
}

// startAgents starts n agents of one fleet. It returns their addresses and the
// directory of the certificates.
func startAgents(t *testing.T, f *fleet, n int) ([]string, string) {
	t.Helper()
	dir := t.TempDir()
	_, err := pki.Create(dir, "demo", []string{"vm-1"}, time.Now())
	require.NoError(t, err)
	store := openCertificates(t, dir, "vm-1-agent")
	var out []string
	for range n {
		s := httptest.NewUnstartedServer(http.HandlerFunc(f.serve))
		// StartTLS would use httptest's own certificate.
		s.Listener = tls.NewListener(s.Listener, store.Server(pki.RoleOperator))
		s.Config.ErrorLog = log.New(io.Discard, "", 0)
		s.Start()
		t.Cleanup(s.Close)
		out = append(out, strings.TrimPrefix(s.URL, "http://"))
	}
	return out, dir
}

func openCertificates(t *testing.T, dir, name string) *pki.Store {
	t.Helper()
	s, err := pki.Open(pki.Paths{
		Certificate: filepath.Join(dir, name+".pem"),
		Key:         filepath.Join(dir, name+"-key.pem"),
		Authority:   filepath.Join(dir, pki.AuthorityFile),
	}, "demo")
	require.NoError(t, err)
	return s
}

func newMember(vm string, status membership.Status, generation uint64) Member {
	return Member{VM: vm, Zone: "az-a", Status: status, Generation: generation, RouterUp: true}
}
