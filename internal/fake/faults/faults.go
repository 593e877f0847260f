// Package faults implements the fault switches of stand-ins and the HTTP server
// that applies them.
package faults

import (
	"strings"
	"sync"
	"time"
)

// Faults is the complete set of fault switches of one stand-in. With the zero
// value the stand-in is healthy. PUT /faults replaces the complete set.
type Faults struct {
	// Down breaks every connection without an answer.
	Down bool `json:"down,omitempty"`
	// SlowMS delays each call before its processing starts.
	SlowMS int `json:"slow_ms,omitempty"`
	// CutFrom lists VMs and zones whose connections are broken, which simulates
	// a network partition.
	CutFrom []string `json:"cut_from,omitempty"`
	// CutSilent makes calls from CutFrom hang instead of breaking their connections.
	CutSilent bool `json:"cut_silent,omitempty"`
	// LostAnswer processes a call and then breaks the connection before the answer
	// is complete.
	LostAnswer *Rule `json:"lost_answer,omitempty"`
	// Late delays answers by the delay of the rule.
	Late *Rule `json:"late,omitempty"`
	// Crossed responds with the answer to a previous request, including the id of
	// that request.
	Crossed *Rule `json:"crossed,omitempty"`
	// Silent stops a stream after the number of events in the rule and leaves the
	// connection open.
	Silent *Rule `json:"silent,omitempty"`
	// Cut breaks the connection after the number of events in the rule, or within
	// the body.
	Cut *Rule `json:"cut,omitempty"`

	// StaleMS is the age of the list of VMs that the platform serves.
	StaleMS int `json:"stale_ms,omitempty"`

	// Cold makes an engine begin a cold start when it receives PUT /faults.
	Cold bool `json:"cold,omitempty"`
	// Restart together with Cold crashes the engine: all connections break and the
	// incarnation changes.
	Restart bool `json:"restart,omitempty"`
	// CrashOn crashes an engine when a prompt contains this text.
	CrashOn string `json:"crash_on,omitempty"`
	// Leaving makes an engine reject new requests.
	Leaving bool `json:"leaving,omitempty"`
	// BadVersions makes versions faulty. The keys are "model@version".
	BadVersions map[string]BadVersion `json:"bad_version,omitempty"`
	// IgnoreFencing makes an engine accept orders with old fencing numbers.
	IgnoreFencing bool `json:"ignore_fencing,omitempty"`
}

// Rule selects calls for a fault.
type Rule struct {
	// Every selects every n-th matching call. 0 and 1 select all.
	Every int `json:"every,omitempty"`
	// Match selects calls whose "METHOD /path" contains this text. An empty text
	// selects all.
	Match string `json:"match,omitempty"`
	// After is the number of events sent before the fault.
	After int `json:"after,omitempty"`
	// DelayMS is the delay of late answers.
	DelayMS int `json:"delay_ms,omitempty"`
	// Times is the maximum number of selected calls. 0 means no limit.
	Times int `json:"times,omitempty"`
}

// BadVersion describes the faults of a version.
type BadVersion struct {
	// Quality replaces the mean quality of the version, from 0 to 1.
	Quality float64 `json:"quality"`
	// ErrorRate is the share of requests that fail, from 0 to 1.
	ErrorRate float64 `json:"error_rate,omitempty"`
	// DelayMS delays the first token.
	DelayMS int `json:"delay_ms,omitempty"`
}

// Kind is a kind of fault whose calls are selected by a Rule.
type Kind int

// Kinds of faults that have a Rule.
const (
	LostAnswer Kind = iota
	Late
	Crossed
	Silent
	Cut
	kindCount
)

// rule returns the rule of a kind. The list has the order of the constants.
func (f *Faults) rule(k Kind) *Rule {
	return [kindCount]*Rule{f.LostAnswer, f.Late, f.Crossed, f.Silent, f.Cut}[k]
}

// Switches holds the active faults. It is safe for concurrent use.
type Switches struct {
	mu     sync.Mutex
	faults Faults
	// matched and selected count the matching and the selected calls per kind
	// since the last Set.
	matched, selected [kindCount]int
	onSet             []func(Faults)
}

// Get returns the active faults. The caller must not change their slices and maps.
func (s *Switches) Get() Faults {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.faults
}

// Set replaces the faults and then calls the functions registered with OnSet.
// Cold and Restart are one-time events: only these functions receive them, and
// they are not stored.
func (s *Switches) Set(f Faults) {
	s.mu.Lock()
	lasting := f
	lasting.Cold, lasting.Restart = false, false
	s.faults = lasting
	s.matched, s.selected = [kindCount]int{}, [kindCount]int{}
	callbacks := s.onSet
	s.mu.Unlock()
	for _, callback := range callbacks {
		callback(f)
	}
}

// OnSet registers a function that Set calls with the new faults. Set holds no
// lock during the call.
func (s *Switches) OnSet(callback func(Faults)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.onSet = append(s.onSet, callback)
}

// Select counts a call, given as "METHOD /path", for the rule of kind k. It
// returns a copy of the rule if the rule selects the call, and nil otherwise.
func (s *Switches) Select(k Kind, call string) *Rule {
	s.mu.Lock()
	defer s.mu.Unlock()
	r := s.faults.rule(k)
	if r == nil || !strings.Contains(call, r.Match) {
		return nil
	}
	s.matched[k]++
	if s.matched[k]%max(r.Every, 1) != 0 || r.Times > 0 && s.selected[k] >= r.Times {
		return nil
	}
	s.selected[k]++
	c := *r
	return &c
}

// IsPartitioned reports whether CutFrom contains the VM or the zone of a sender.
func (f *Faults) IsPartitioned(vm, zone string) bool {
	for _, c := range f.CutFrom {
		if c != "" && (c == vm || c == zone) {
			return true
		}
	}
	return false
}

// Delay returns DelayMS as a duration.
func (r *Rule) Delay() time.Duration { return time.Duration(r.DelayMS) * time.Millisecond }
