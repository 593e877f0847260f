package orders

import (
	"slices"
	"strings"
	"time"

	"github.com/cranberrypier/cranberrypier/internal/document"
	"github.com/cranberrypier/cranberrypier/internal/membership"
)

// wanted reports whether the document wants the version loaded there.
func (s *State) wanted(p place) bool {
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
			if !slices.Contains(e.loaded, target) && s.wanted(place{name, target}) {
				return Load, target
			}
		}
	}
	for _, target := range e.loaded {
		p := place{name, target}
		if s.wanted(p) {
			continue
		}
		d, ok := s.dropped[p]
		if !ok {
			s.dropped[p] = drop{generation: s.document.Generation}
			continue
		}
		if !d.free.IsZero() && !now.Before(d.free) && now.Sub(s.newestAt) < newestFor {
			return Unload, target
		}
	}
	return "", ""
}

// ask asks for the fleet's generations while an unload waits for them, and
// again before it is ordered, since a newer document may want the version.
func (s *State) ask(now time.Time) []Action {
	waits := false
	for _, d := range s.dropped {
		waits = waits || d.free.IsZero() || !now.Before(d.free)
	}
	if !waits || now.Before(s.askAt) {
		return nil
	}
	s.askAt = now.Add(askEvery)
	return []Action{ListMembers{}}
}

// fleet frees the places whose last user has moved on. From the moment at
// which every VM has a document without the place in force no run begins there,
// and after the longest deadline none goes on.
func (s *State) fleet(now time.Time, list []membership.Member) {
	if len(list) == 0 || s.document == nil {
		return
	}
	lowest := s.lowest(now, list)
	newer := slices.ContainsFunc(list, func(m membership.Member) bool { return m.Generation > s.document.Generation })
	if !newer {
		s.newestAt = now
	}
	for p, d := range s.dropped {
		if d.free.IsZero() && lowest >= d.generation {
			d.free = now.Add(s.longest() + drainMargin)
			s.dropped[p] = d
		}
	}
}

// lowest is the lowest generation in force at any VM that may still start
// runs; a VM that died without a leave counts as zero for a while.
func (s *State) lowest(now time.Time, list []membership.Member) uint64 {
	out := s.document.Generation
	for _, m := range list {
		if m.Status != membership.Dead {
			delete(s.silent, m.VM)
			out = min(out, m.Generation)
			continue
		}
		if m.AnnouncedLeave {
			continue
		}
		if _, ok := s.silent[m.VM]; !ok {
			s.silent[m.VM] = now
		}
		if now.Sub(s.silent[m.VM]) < silentMember {
			out = 0
		}
	}
	return out
}

// longest is the longest deadline of the document's classes.
func (s *State) longest() time.Duration {
	out := time.Duration(0)
	for _, c := range s.document.Classes {
		out = max(out, c.Deadline.D())
	}
	return out
}
