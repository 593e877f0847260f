package orders

import (
	"slices"
	"strings"
	"time"

	"github.com/cranberrypier/cranberrypier/internal/document"
	"github.com/cranberrypier/cranberrypier/internal/membership"
)

// assigned reports whether the document assigns the version to the engine and
// has not withdrawn it.
func (s *State) assigned(p engineTarget) bool {
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

// difference returns the next operation that makes the loaded versions match
// the document.
func (s *State) difference(now time.Time, name string, e *engine) (Op, string) {
	for i := range s.document.Upstreams {
		u := &s.document.Upstreams[i]
		if u.Name != name {
			continue
		}
		for _, target := range u.Serves {
			if !slices.Contains(e.loaded, target) && s.assigned(engineTarget{name, target}) {
				return OpLoad, target
			}
		}
	}
	for _, target := range e.loaded {
		p := engineTarget{name, target}
		if s.assigned(p) {
			continue
		}
		d, ok := s.unassigned[p]
		if !ok {
			s.unassigned[p] = unassignedTarget{generation: s.document.Generation}
			continue
		}
		if !d.unloadAt.IsZero() && !now.Before(d.unloadAt) && now.Sub(s.newestConfirmed) < newestTTL {
			return OpUnload, target
		}
	}
	return "", ""
}

// listMembers requests the fleet's generations while an unload waits for them,
// and again before the unload is sent, since a newer document may assign the
// version again.
func (s *State) listMembers(now time.Time) []Action {
	needed := false
	for _, d := range s.unassigned {
		needed = needed || d.unloadAt.IsZero() || !now.Before(d.unloadAt)
	}
	if !needed || now.Before(s.nextList) {
		return nil
	}
	s.nextList = now.Add(listInterval)
	return []Action{ListMembers{}}
}

// membersListed sets the unload time of targets that no VM can use any longer.
// Once every VM has a document without the target no run on it begins, and
// after the longest deadline all its runs have ended.
func (s *State) membersListed(now time.Time, list []membership.Member) {
	if len(list) == 0 || s.document == nil {
		return
	}
	lowest := s.lowestGeneration(now, list)
	newer := slices.ContainsFunc(list, func(m membership.Member) bool { return m.Generation > s.document.Generation })
	if !newer {
		s.newestConfirmed = now
	}
	for p, d := range s.unassigned {
		if d.unloadAt.IsZero() && lowest >= d.generation {
			d.unloadAt = now.Add(s.longestDeadline() + drainMargin)
			s.unassigned[p] = d
		}
	}
}

// lowestGeneration returns the lowest generation in force on any VM that may
// still start runs. A VM that died without announcing its departure counts as
// zero until deadVMTimeout has passed.
func (s *State) lowestGeneration(now time.Time, list []membership.Member) uint64 {
	out := s.document.Generation
	for _, m := range list {
		if m.Status != membership.Dead {
			delete(s.deadSince, m.VM)
			out = min(out, m.Generation)
			continue
		}
		if m.AnnouncedLeave {
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

// longestDeadline returns the longest deadline of the document's classes.
func (s *State) longestDeadline() time.Duration {
	out := time.Duration(0)
	for _, c := range s.document.Classes {
		out = max(out, c.Deadline.D())
	}
	return out
}
