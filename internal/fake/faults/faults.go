// Package faults gives every stand-in its fault switches and the HTTP server
// that applies them.
package faults

import (
	"strings"
	"sync"
	"time"
)

// Faults is the whole set of switches of one stand-in. The zero value is a
// healthy stand-in. PUT /faults replaces the whole set.
type Faults struct {
	// Down breaks every connection without an answer.
	Down bool `json:"down,omitempty"`
	// SlowMS delays each call before it is worked on.
	SlowMS int `json:"slow_ms,omitempty"`
	// CutFrom names VMs and zones whose calls are refused: a partition.
	CutFrom []string `json:"cut_from,omitempty"`
	// CutSilent lets calls of a partition hang instead of breaking them.
	CutSilent bool `json:"cut_silent,omitempty"`
	// LostAnswer performs a call and then breaks the connection.
	LostAnswer *Rule `json:"lost_answer,omitempty"`
	// Late delays the answer after the work by the rule's delay.
	Late *Rule `json:"late,omitempty"`
	// Crossed answers with another request's id and text.
	Crossed *Rule `json:"crossed,omitempty"`
	// Silent stops a stream after the rule's events with the connection open.
	Silent *Rule `json:"silent,omitempty"`
	// Cut breaks a stream or a body after the rule's events.
	Cut *Rule `json:"cut,omitempty"`

	// StaleMS is how far the platform's list of VMs lags.
	StaleMS int `json:"stale_ms,omitempty"`

	// Cold turns an engine cold at the moment of the call.
	Cold bool `json:"cold,omitempty"`
	// Restart together with Cold also breaks all connections and changes the
	// incarnation.
	Restart bool `json:"restart,omitempty"`
	// CrashOn crashes an engine when a prompt contains it.
	CrashOn string `json:"crash_on,omitempty"`
	// Leaving makes an engine refuse new work.
	Leaving bool `json:"leaving,omitempty"`
	// BadVersions turns versions bad, by "model@version".
	BadVersions map[string]BadVersion `json:"bad_version,omitempty"`
	// IgnoreFencing makes an engine take orders with old fencing numbers.
	IgnoreFencing bool `json:"ignore_fencing,omitempty"`
}

// Rule selects calls for a fault.
type Rule struct {
	// Every selects each n-th matching call; 0 and 1 select all.
	Every int `json:"every,omitempty"`
	// Match selects calls whose "METHOD /path" contains it; empty selects all.
	Match string `json:"match,omitempty"`
	// After is the number of events sent before the fault.
	After int `json:"after,omitempty"`
	// DelayMS is the delay of late answers.
	DelayMS int `json:"delay_ms,omitempty"`
	// Times bounds how often the fault happens; 0 means without bound.
	Times int `json:"times,omitempty"`
}

// BadVersion is what is wrong with a version.
type BadVersion struct {
	// Quality replaces the version's quality, from 0 to 1.
	Quality float64 `json:"quality"`
	// ErrorRate is the share of requests that fail, from 0 to 1.
	ErrorRate float64 `json:"error_rate,omitempty"`
	// DelayMS delays the first token.
	DelayMS int `json:"delay_ms,omitempty"`
}

// Kind names a fault that a rule selects calls for.
type Kind int

// Kinds of faults with rules.
const (
	LostAnswer Kind = iota
	Late
	Crossed
	Silent
	Cut
	kinds
)

func (f *Faults) rule(k Kind) *Rule {
	return [kinds]*Rule{f.LostAnswer, f.Late, f.Crossed, f.Silent, f.Cut}[k]
}

// Switches holds the faults in force. It is safe for concurrent use.
type Switches struct {
	mu     sync.Mutex
	faults Faults
	// seen and hit count matching and selected calls since the last Set.
	seen, hit [kinds]int
	onSet     []func(Faults)
}

// Get returns the faults in force; its slices and maps are not to be changed.
func (s *Switches) Get() Faults {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.faults
}

// Set replaces the faults and runs the registered reactions. Edges such as
// Cold act once and are not kept.
func (s *Switches) Set(f Faults) {
	s.mu.Lock()
	kept := f
	kept.Cold, kept.Restart = false, false
	s.faults = kept
	s.seen, s.hit = [kinds]int{}, [kinds]int{}
	reactions := s.onSet
	s.mu.Unlock()
	for _, react := range reactions {
		react(f)
	}
}

// OnSet registers a reaction to Set; it runs without locks held.
func (s *Switches) OnSet(react func(Faults)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.onSet = append(s.onSet, react)
}

// Select counts a call, given as "METHOD /path", against the rule of k and
// returns the rule if it selects the call, or nil.
func (s *Switches) Select(k Kind, call string) *Rule {
	s.mu.Lock()
	defer s.mu.Unlock()
	r := s.faults.rule(k)
	if r == nil || !strings.Contains(call, r.Match) {
		return nil
	}
	s.seen[k]++
	if s.seen[k]%max(r.Every, 1) != 0 || r.Times > 0 && s.hit[k] >= r.Times {
		return nil
	}
	s.hit[k]++
	c := *r
	return &c
}

// Cuts reports whether the partition cuts off a sender.
func (f *Faults) IsPartitioned(vm, zone string) bool {
	for _, c := range f.CutFrom {
		if c != "" && (c == vm || c == zone) {
			return true
		}
	}
	return false
}

// Delay returns the rule's delay.
func (r *Rule) Delay() time.Duration { return time.Duration(r.DelayMS) * time.Millisecond }
