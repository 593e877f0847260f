package edge

import (
	"compress/gzip"
	"context"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"github.com/go-chi/chi/v5"
	"github.com/go-chi/chi/v5/middleware"
	"github.com/gravitational/trace"
	"k8s.io/klog/v2"

	"github.com/cranberrypier/cranberrypier/internal/catalog"
	"github.com/cranberrypier/cranberrypier/internal/logs"
	"github.com/cranberrypier/cranberrypier/internal/stricthttp"
	"github.com/cranberrypier/cranberrypier/internal/transfer"
)

const (
	// statePath is where a VM serves its copy of the store to its peers. The
	// query holds, for each kind, the revision up to which the requesting VM's
	// copy is complete.
	statePath = "/peer/v1/state"
	// fullListParam requests full lists where the peer can't tell what has
	// changed.
	fullListParam = "whole"
	// configVersionParam holds the version of the configuration that the
	// requesting VM uses.
	configVersionParam = "configVersion"
	// maxStateBytes limits the size of a peer's response. The largest contents
	// are a configuration of up to 1 MB and a few hundred upstreams.
	maxStateBytes = 8 << 20
	// peerTimeout limits connecting to a peer and the silence before its response and
	// within it. firstListTimeout replaces it until a response begins that may hold full
	// lists. maxFetchTime limits the time that a response takes to arrive; it leaves the
	// requesting VM enough time to read the store itself.
	peerTimeout      = 600 * time.Millisecond
	firstListTimeout = time.Second
	maxFetchTime     = 2 * time.Second
	// maxConcurrentStates limits the responses to peers that are encoded and sent at the
	// same time, each of which may take a megabyte of memory and much of the link. Further
	// peers are refused at once, so that they ask those that have been served.
	maxConcurrentStates = 2
)

// peerState is the response of a VM to a peer's state request.
type peerState struct {
	Kinds map[catalog.Kind]catalog.Update `json:"kinds"`
	// RecoveredMS is how long ago, in milliseconds, the store recovered from an
	// outage; zero if there was none.
	RecoveredMS int64 `json:"returnedMS,omitempty"`
	// Config is the configuration that the responding VM uses, if it is newer than
	// the requesting VM's. After the store came back from an older copy, the store
	// may not have it.
	Config *catalog.Object `json:"config,omitempty"`
}

// stateHandler serves this VM's copy of the store to its peers. A large configuration
// repeats most of each route, and its size on the wire decides how soon all VMs have it.
func (f *Follower) stateHandler() http.Handler {
	r := chi.NewRouter()
	r.Use(middleware.Compress(gzip.BestSpeed, "application/json"))
	slots := make(chan struct{}, maxConcurrentStates)
	r.Get(statePath, func(w http.ResponseWriter, req *http.Request) {
		select {
		case slots <- struct{}{}:
			defer func() { <-slots }()
		default: // by now another VM may have the changes, and room
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
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
		// A revision that is missing or not a number means that the requesting
		// VM has cached nothing of this kind.
		since, _ := strconv.ParseUint(known.Get(string(kind)), 10, 64)
		if update, ok := f.group.Cache().UpdateSince(kind, since, known.Has(fullListParam)); ok {
			out.Kinds[kind] = update
		}
	}
	version, err := strconv.ParseUint(known.Get(configVersionParam), 10, 64)
	if err == nil && len(out.Kinds[catalog.Configurations].Objects) == 0 {
		out.Config = f.configNewerThan(version)
	}
	if at := f.group.LastRecovered(); !at.IsZero() {
		out.RecoveredMS = max(time.Since(at).Milliseconds(), 1)
	}
	return out
}

// errPeerBusy is the error of a fetch from a peer that sends its state to others.
var errPeerBusy = errors.New("the peer sends its state to as many VMs as it may")

// newStateClient returns the HTTP client for state requests to peers; nil for TCP with
// this package's timeouts.
func newStateClient(dial DialFunc) *http.Client {
	if dial == nil {
		dial = newControlDialer(peerTimeout).DialContext
	}
	return &http.Client{Transport: stricthttp.NewTransport(&http.Transport{
		DisableKeepAlives: true, DialContext: limitHeads(dial), MaxResponseHeaderBytes: maxResponseHeaderBytes,
	})}
}

// fetchState requests from a peer the changes that this VM lacks. Full lists are
// large, and traffic between zones is billed, so they are requested from another
// zone only by a VM that starts, while the store is unavailable, or if the peer has
// read the store in a later era, whose changes do not follow from this copy.
func (f *Follower) fetchState(ctx context.Context, client *http.Client, peer newerPeer) (peerState, error) {
	cache := f.group.Cache()
	known := url.Values{configVersionParam: {strconv.FormatUint(f.proxy.configVersion(), 10)}}
	for _, kind := range catalog.Kinds {
		known.Set(string(kind), strconv.FormatUint(cache.CompleteRevision(kind), 10))
	}
	limits := transfer.Limits{First: peerTimeout, Silence: peerTimeout, Total: maxFetchTime}
	if peer.sameZone || f.group.StoreUnavailable() || !f.Ready() || peer.digest.Era > cache.Era() || !cache.IsOneEra() {
		known.Set(fullListParam, "")
		limits.First = firstListTimeout
	}
	ctx, fetch := transfer.Start(ctx, limits)
	defer fetch.End(nil)
	var out peerState
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+peer.address+statePath+"?"+known.Encode(), nil)
	if err != nil {
		return out, trace.Wrap(err)
	}
	resp, err := client.Do(req)
	if err != nil {
		return out, trace.Wrap(err)
	}
	defer resp.Body.Close()
	if resp.StatusCode == http.StatusServiceUnavailable {
		return out, trace.Wrap(errPeerBusy)
	}
	if resp.StatusCode != http.StatusOK {
		return out, trace.Errorf("peer responded with status %d", resp.StatusCode)
	}
	body := &io.LimitedReader{R: transfer.Reader(ctx, resp.Body), N: maxStateBytes}
	if err := json.NewDecoder(body).Decode(&out); err != nil {
		return out, trace.Wrap(err)
	}
	// Whether the response is whole and valid is known at its end.
	if _, err := io.Copy(io.Discard, body); err != nil {
		return out, trace.Wrap(err)
	}
	if body.N == 0 {
		return out, trace.LimitExceeded("the state is longer than %d bytes", maxStateBytes)
	}
	return out, nil
}

// applyState applies the state received from a peer and reports whether it
// contained any full list, object or deletion, or a newer configuration.
func (f *Follower) applyState(from string, state peerState) (changed bool) {
	if state.RecoveredMS > 0 {
		f.group.PeerRecovered(time.Now().Add(-time.Duration(state.RecoveredMS) * time.Millisecond))
	}
	for _, kind := range catalog.Kinds {
		update, ok := state.Kinds[kind]
		if !ok {
			continue
		}
		if update.Full || len(update.Objects)+len(update.Deletions) > 0 {
			changed = true
			klog.InfoS("peers: changes received from a peer", "from", from, "kind", kind, "whole", update.Full, "objects", len(update.Objects),
				"gone", len(update.Deletions), "complete", update.CompleteRevision)
		}
		f.group.ApplyUpdate(kind, update)
	}
	if state.Config != nil {
		before := f.proxy.configVersion()
		f.applyConfig(*state.Config)
		changed = changed || f.proxy.configVersion() > before
	}
	return changed
}
