package memory

import (
	"maps"
	"slices"

	"github.com/cranberrypier/cranberrypier/internal/platform"
)

// maxHistoryBytes is the maximum total size of the values in the history.
const maxHistoryBytes = 64 << 20

// Write is one accepted write.
type Write struct {
	Verb    Verb             `json:"verb"`
	Kind    string           `json:"kind"`
	Name    string           `json:"name"`
	Base    platform.Version `json:"base"`
	Version platform.Version `json:"version"`
	AtMS    int64            `json:"at_ms"`
	Size    int              `json:"size"`
	// Value is empty if the history would exceed maxHistoryBytes with it.
	Value []byte `json:"value,omitempty"`
}

// history records the accepted writes in order.
type history struct {
	writes []Write
	bytes  int
}

func (h *history) add(w Write) {
	if h.bytes+len(w.Value) > maxHistoryBytes {
		w.Value = nil
	}
	h.bytes += len(w.Value)
	h.writes = append(h.writes, w)
}

// History returns the accepted writes of a kind in order; an empty kind means
// all kinds.
func (s *Store) History(kind string) []Write {
	s.mu.Lock()
	defer s.mu.Unlock()
	var out []Write
	for _, w := range s.history.writes {
		if kind == "" || w.Kind == kind {
			out = append(out, w)
		}
	}
	return out
}

// SetHook sets the fault hook; nil removes it.
func (s *Store) SetHook(h Hook) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.hook = h
}

// SetDown sets whether every call fails as unavailable. Pending watches fail
// with the same error.
func (s *Store) SetDown(down bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.down = down
	close(s.changed)
	s.changed = make(chan struct{})
}

// LoseAnswers makes the next n writes take effect and then fail as unsure, as
// if their responses were lost.
func (s *Store) LoseResponses(n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.responsesToLose = n
}

// SetVMs replaces the list of VMs.
func (s *Store) SetVMs(vms []platform.VM) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.vms = slices.Clone(vms)
}

// Revision returns the latest revision.
func (s *Store) Revision() uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.revision
}

// Calls returns the number of calls by verb and kind; Op.Name is empty.
func (s *Store) Calls() map[Op]int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return maps.Clone(s.calls)
}

// CallsOf returns the number of calls of one verb and kind.
func (s *Store) CallsOf(verb Verb, kind string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.calls[Op{Verb: verb, Kind: kind}]
}
