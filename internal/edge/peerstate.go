package edge

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"github.com/go-chi/chi/v5"
	"github.com/gravitational/trace"
	"k8s.io/klog/v2"

	"github.com/cranberrypier/cranberrypier/internal/catalog"
	"github.com/cranberrypier/cranberrypier/internal/logs"
)

const (
	// statePath is where a VM tells others what it has from the store. The query
	// names the revision up to which the asking VM knows each kind.
	statePath = "/peer/v1/state"
	// wholeKey asks for whole lists where the other VM does not know what changed.
	wholeKey = "whole"
	// stateMost bounds the state of another VM, in bytes: the largest
	// configuration is 1 MB, and there are some hundred upstreams.
	stateMost = 8 << 20
	// askTimeout bounds one question; it leaves a VM time to read the store
	// itself within the shortest bound. A whole list may take longer: the store
	// does not answer a VM that asks for it.
	askTimeout   = 600 * time.Millisecond
	wholeTimeout = 2 * time.Second
)

// peerState is what a VM tells another of the store.
type peerState struct {
	Kinds map[catalog.Kind]catalog.Update `json:"kinds"`
	// ReturnedMS is how long ago the store was back after an absence; zero when
	// it never was away.
	ReturnedMS int64 `json:"returnedMS,omitempty"`
}

// stateHandler tells other VMs what this one has from the store.
func (f *Follower) stateHandler() http.Handler {
	r := chi.NewRouter()
	r.Get(statePath, func(w http.ResponseWriter, req *http.Request) {
		w.Header().Set("Content-Type", "application/json")
		if err := json.NewEncoder(w).Encode(f.stateSince(req.URL.Query())); err != nil {
			klog.InfoS("peers: state not sent", "err", logs.Err(err))
		}
	})
	return r
}

func (f *Follower) stateSince(known url.Values) peerState {
	out := peerState{Kinds: make(map[catalog.Kind]catalog.Update)}
	for _, kind := range catalog.Kinds {
		// A revision that is missing or no number counts as nothing known.
		since, _ := strconv.ParseUint(known.Get(string(kind)), 10, 64)
		if part, ok := f.group.Cache().UpdateSince(kind, since, known.Has(wholeKey)); ok {
			out.Kinds[kind] = part
		}
	}
	if at := f.group.LastRecovered(); !at.IsZero() {
		out.ReturnedMS = max(time.Since(at).Milliseconds(), 1)
	}
	return out
}

// stateClient asks other VMs.
func stateClient() *http.Client {
	return &http.Client{Transport: &http.Transport{
		DisableKeepAlives: true, DialContext: dialer(askTimeout).DialContext,
	}}
}

// fetchState asks a VM for what this one lacks. Whole lists are large: a VM that
// the store answers gets them from there.
func (f *Follower) fetchState(ctx context.Context, client *http.Client, address string) (peerState, error) {
	known := url.Values{}
	for _, kind := range catalog.Kinds {
		known.Set(string(kind), strconv.FormatUint(f.group.Cache().CompleteRevision(kind), 10))
	}
	timeout := askTimeout
	if f.group.StoreUnavailable() {
		known.Set(wholeKey, "")
		timeout = wholeTimeout
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	var out peerState
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+statePath+"?"+known.Encode(), nil)
	if err != nil {
		return out, trace.Wrap(err)
	}
	resp, err := client.Do(req)
	if err != nil {
		return out, trace.Wrap(err)
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return out, trace.Errorf("the VM answered %d", resp.StatusCode)
	}
	return out, trace.Wrap(json.NewDecoder(io.LimitReader(resp.Body, stateMost)).Decode(&out))
}

// adopt takes what another VM has told and reports whether there was anything new.
func (f *Follower) adopt(from string, state peerState) (anything bool) {
	if state.ReturnedMS > 0 {
		f.group.PeerRecovered(time.Now().Add(-time.Duration(state.ReturnedMS) * time.Millisecond))
	}
	for _, kind := range catalog.Kinds {
		part, ok := state.Kinds[kind]
		if !ok {
			continue
		}
		if part.Full || len(part.Objects)+len(part.Deletions) > 0 {
			anything = true
			klog.InfoS("peers: state taken", "from", from, "kind", kind, "whole", part.Full, "objects", len(part.Objects),
				"gone", len(part.Deletions), "complete", part.CompleteRevision)
		}
		f.group.ApplyUpdate(kind, part)
	}
	return anything
}
