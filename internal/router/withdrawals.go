package router

import (
	"sync"

	"github.com/cranberrypier/cranberrypier/internal/document"
)

// withdrawalNotifier notifies requests in progress when their version is
// withdrawn.
//
// Invariant: a channel returned by watch is closed by the first index in which the
// version is withdrawn or missing, because setIndex is called with every index
// before any request can be dispatched under that index.
type withdrawalNotifier struct {
	mu       sync.Mutex
	watchers map[versionKey]chan struct{}
}

// versionKey identifies a version of a model.
type versionKey struct {
	model   string
	version string
}

func newWithdrawalNotifier() *withdrawalNotifier {
	return &withdrawalNotifier{watchers: make(map[versionKey]chan struct{})}
}

// watch returns a channel that is closed when the version is withdrawn or removed.
func (w *withdrawalNotifier) watch(model, version string) <-chan struct{} {
	w.mu.Lock()
	defer w.mu.Unlock()
	n := versionKey{model, version}
	c, ok := w.watchers[n]
	if !ok {
		c = make(chan struct{})
		w.watchers[n] = c
	}
	return c
}

// setIndex closes the channels of versions that are withdrawn or missing in idx.
func (w *withdrawalNotifier) setIndex(idx *document.Index) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for n, c := range w.watchers {
		v, ok := idx.Version(n.model, n.version)
		if ok && v.State != document.Withdrawn {
			continue
		}
		close(c)
		delete(w.watchers, n)
	}
}
