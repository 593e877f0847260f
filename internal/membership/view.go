package membership

import "time"

// changed returns the new view when it differs from the last one.
func (s *State) changed(now time.Time) []Action {
	for _, z := range s.zones {
		if status := s.zoneStatus(now, z); status != z.status {
			z.status = status
			s.dirty = true
		}
	}
	if !s.dirty {
		return nil
	}
	s.dirty = false
	s.number++
	s.view = View{Number: s.number, Members: s.Members("")}
	return []Action{ViewChanged{View: s.view}}
}

// Members returns the members of a zone, or of all zones for an empty name,
// with the generations known at this moment.
func (s *State) Members(zone string) []Member {
	out := make([]Member, 0, len(s.entries))
	for _, e := range s.sorted() {
		if zone == "" || e.Zone == zone {
			out = append(out, s.member(e))
		}
	}
	return out
}

// zoneStatus judges another zone by its silence. The judgement stays here: it
// says that the zone can't be reached, not that its members are dead.
func (s *State) zoneStatus(now time.Time, z *zone) Status {
	silence := now.Sub(z.heard)
	switch {
	case z.name == s.self.Zone || silence < zoneSuspect:
		return Alive
	case silence < zoneDead:
		return Suspect
	default:
		return Dead
	}
}

func (s *State) member(e *entry) Member {
	return Member{
		VM: e.VM, Zone: e.Zone, Incarnation: e.Incarnation,
		Agent: e.Agent, Router: e.Router, Status: s.status(e),
		Generation: e.inForce, Schema: e.Schema, RouterUp: e.RouterUp, AnnouncedLeave: e.Leaving, Platform: e.Platform,
	}
}

func (s *State) status(e *entry) Status {
	zone := s.zones[e.Zone].status
	switch {
	case e.Condition == ConditionDead || zone == Dead:
		return Dead
	case e.Leaving:
		return Leaving
	case e.Condition == ConditionSuspect || zone == Suspect:
		return Suspect
	default:
		return Alive
	}
}
