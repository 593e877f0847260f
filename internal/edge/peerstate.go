package edge

import (
	"context"
	"encoding/json"
	"io"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"github.com/go-chi/chi/v5"
	"github.com/gravitational/trace"
	"k8s.io/klog/v2"

	"github.com/cranberrypier/cranberrypier/internal/catalog"
	"github.com/cranberrypier/cranberrypier/internal/logs"
)

const (
	// statePath is where a VM tells others what it has from the store.
	statePath = "/peer/v1/state"
	// stateMost bounds the state of another VM, in bytes: the largest
	// configuration is 1 MB, and there are some hundred upstreams.
	stateMost = 8 << 20
	// askAfter is how long the store has to be away before others are asked, and
	// askEvery the pause between two questions.
	askAfter = 4 * time.Second
	askEvery = 3 * time.Second
	// askTimeout bounds one question.
	askTimeout = time.Second
)

// kindState is what a VM has of one kind, and the store's revision of it.
type kindState struct {
	Revision uint64           `json:"revision"`
	Objects  []catalog.Object `json:"objects"`
}

// stateBook keeps the objects as they came, for VMs that the store turns away.
type stateBook struct {
	mu    sync.Mutex
	kinds map[catalog.Kind]map[string]catalog.Object
	at    map[catalog.Kind]uint64
}

func newStateBook() *stateBook {
	return &stateBook{kinds: make(map[catalog.Kind]map[string]catalog.Object), at: make(map[catalog.Kind]uint64)}
}

func (b *stateBook) replace(kind catalog.Kind, list []catalog.Object) {
	b.mu.Lock()
	defer b.mu.Unlock()
	objects := make(map[string]catalog.Object, len(list))
	b.at[kind] = 0
	for _, o := range list {
		objects[o.Name] = o
		b.at[kind] = max(b.at[kind], o.Revision)
	}
	b.kinds[kind] = objects
}

func (b *stateBook) apply(kind catalog.Kind, changes []catalog.Change) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, c := range changes {
		b.at[kind] = max(b.at[kind], c.Object.Revision)
		if c.Deleted {
			delete(b.kinds[kind], c.Object.Name)
			continue
		}
		if b.kinds[kind] == nil {
			b.kinds[kind] = make(map[string]catalog.Object)
		}
		b.kinds[kind][c.Object.Name] = c.Object
	}
}

// revision is the newest revision of a kind that is known here.
func (b *stateBook) revision(kind catalog.Kind) uint64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.at[kind]
}

func (b *stateBook) snapshot() map[catalog.Kind]kindState {
	b.mu.Lock()
	defer b.mu.Unlock()
	out := make(map[catalog.Kind]kindState, len(b.kinds))
	for kind, objects := range b.kinds {
		s := kindState{Revision: b.at[kind]}
		for _, o := range objects {
			s.Objects = append(s.Objects, o)
		}
		out[kind] = s
	}
	return out
}

// stateHandler tells other VMs what this one has from the store.
func (f *Follower) stateHandler() http.Handler {
	r := chi.NewRouter()
	r.Get(statePath, func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "application/json")
		if err := json.NewEncoder(w).Encode(f.book.snapshot()); err != nil {
			klog.InfoS("peers: state not sent", "err", logs.Err(err))
		}
	})
	return r
}

// askPeers takes newer state from other VMs while the store does not answer
// this one, until ctx ends. The store's own word always counts again as soon as
// it is heard.
func (f *Follower) askPeers(ctx context.Context, group *catalog.Group, peers func() []string) {
	client := &http.Client{Timeout: askTimeout, Transport: &http.Transport{DisableKeepAlives: true, DialContext: dialer(askTimeout).DialContext}}
	tick := time.NewTicker(askEvery)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
		addresses := peers()
		if group.Away(time.Now()) < askAfter || len(addresses) == 0 {
			continue
		}
		address := addresses[rand.IntN(len(addresses))]
		state, err := fetchState(ctx, client, address)
		if err != nil {
			klog.InfoS("peers: state not fetched", "from", address, "err", logs.Err(err))
			continue
		}
		f.adopt(address, state)
	}
}

func fetchState(ctx context.Context, client *http.Client, address string) (map[catalog.Kind]kindState, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+statePath, nil)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	resp, err := client.Do(req)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return nil, trace.Errorf("the VM answered %d", resp.StatusCode)
	}
	var out map[catalog.Kind]kindState
	if err := json.NewDecoder(io.LimitReader(resp.Body, stateMost)).Decode(&out); err != nil {
		return nil, trace.Wrap(err)
	}
	return out, nil
}

// adopt takes what is newer than what is known here.
func (f *Follower) adopt(from string, state map[catalog.Kind]kindState) {
	for kind, s := range state {
		handle, ok := f.handlers[kind]
		if !ok || s.Revision <= f.book.revision(kind) {
			continue
		}
		klog.InfoS("peers: newer state adopted", "from", from, "kind", kind, "revision", s.Revision, "objects", len(s.Objects))
		handle.Replace(s.Objects)
	}
}
