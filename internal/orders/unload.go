package orders

import (
	"slices"
	"strings"
	"time"

	"github.com/cranberrypier/cranberrypier/internal/document"
	"github.com/cranberrypier/cranberrypier/internal/membership"
)

// wanted reports whether the document wants the version loaded there.
func (s *State) wanted(p engineTarget) bool {
	model, version, _ := strings.Cut(p.target, "@")
	for i := range s.document.Upstreams {
		u := &s.document.Upstreams[i]
		if u.Name == p.upstream {
			return slices.Contains(u.Serves, p.target) && !s.withdrawn(model, version)
		}
	}
	return false
}

func (s *State) withdrawn(model, version string) bool {
	for _, m := range s.document.Models {
		for _, v := range m.Versions {
			if m.Name == model && v.Name == version {
				return v.State == document.Withdrawn
			}
		}
	}
	return true
}

// difference compares what is loaded with what the document wants.
func (s *State) difference(now time.Time, name string, e *engine) (Op, string) {
	for i := range s.document.Upstreams {
		u := &s.document.Upstreams[i]
		if u.Name != name {
			continue
		}
		for _, target := range u.Serves {
			if !slices.Contains(e.loaded, target) && s.wanted(engineTarget{name, target}) {
				return Load, target
			}
		}
	}
	for _, target := range e.loaded {
		p := engineTarget{name, target}
		if s.wanted(p) {
			continue
		}
		d, ok := s.unwanted[p]
		if !ok {
			s.unwanted[p] = unwantedTarget{generation: s.document.Generation}
			continue
		}
		if !d.unloadAt.IsZero() && !now.Before(d.unloadAt) && now.Sub(s.newestConfirmed) < newestTTL {
			return Unload, target
		}
	}
	return "", ""
}

// ask asks for the fleet's generations while an unload waits for them, and
// again before it is ordered, since a newer document may want the version.
func (s *State) listMembers(now time.Time) []Action {
	needed := false
	for _, d := range s.unwanted {
		needed = needed || d.unloadAt.IsZero() || !now.Before(d.unloadAt)
	}
	if !needed || now.Before(s.nextList) {
		return nil
	}
	s.nextList = now.Add(listInterval)
	return []Action{AskFleet{}}
}

// fleet frees the places whose last user has moved on. From the moment at
// which every VM has a document without the place in force no run begins there,
// and after the longest deadline none goes on.
func (s *State) membersListed(now time.Time, list []membership.Member) {
	if len(list) == 0 || s.document == nil {
		return
	}
	lowest := s.lowestGeneration(now, list)
	newer := slices.ContainsFunc(list, func(m membership.Member) bool { return m.Generation > s.document.Generation })
	if !newer {
		s.newestConfirmed = now
	}
	for p, d := range s.unwanted {
		if d.unloadAt.IsZero() && lowest >= d.generation {
			d.unloadAt = now.Add(s.longestDeadline() + drainMargin)
			s.unwanted[p] = d
		}
	}
}

// lowest is the lowest generation in force at any VM that may still start
// runs; a VM that died without a leave counts as zero for a while.
func (s *State) lowestGeneration(now time.Time, list []membership.Member) uint64 {
	out := s.document.Generation
	for _, m := range list {
		if m.Status != membership.Dead {
			delete(s.deadSince, m.VM)
			out = min(out, m.Generation)
			continue
		}
		if m.Left {
			continue
		}
		if _, ok := s.deadSince[m.VM]; !ok {
			s.deadSince[m.VM] = now
		}
		if now.Sub(s.deadSince[m.VM]) < deadVMTimeout {
			out = 0
		}
	}
	return out
}

// longest is the longest deadline of the document's classes.
func (s *State) longestDeadline() time.Duration {
	out := time.Duration(0)
	for _, c := range s.document.Classes {
		out = max(out, c.Deadline.D())
	}
	return out
}
