package membership

import "time"

// viewChange returns the new view when it differs from the last one.
func (s *State) viewChange(now time.Time) []Action {
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
	s.viewNumber++
	s.view = View{Number: s.viewNumber, Members: s.Members("")}
	return []Action{ViewChanged{View: s.view}}
}

// Members returns the members of a zone, or of all zones for an empty name,
// with the last received generations.
func (s *State) Members(zone string) []Member {
	out := make([]Member, 0, len(s.entries))
	for _, e := range s.sorted() {
		if zone == "" || e.Zone == zone {
			out = append(out, s.member(e))
		}
	}
	return out
}

// zoneStatus derives the status of another zone from the time since its beat
// last increased. This status is not sent to other VMs: it means that this VM
// can't reach the zone, not that the zone's members are dead.
func (s *State) zoneStatus(now time.Time, z *zone) Status {
	sinceBeat := now.Sub(z.lastBeat)
	switch {
	case z.name == s.self.Zone || sinceBeat < zoneSuspectTimeout:
		return Alive
	case sinceBeat < zoneDeadTimeout:
		return Suspect
	default:
		return Dead
	}
}

func (s *State) member(e *entry) Member {
	return Member{
		VM: e.VM, Zone: e.Zone, Incarnation: e.Incarnation,
		Agent: e.Agent, Router: e.Router, Status: s.status(e),
		Generation: e.inForce, Schema: e.Schema, RouterUp: e.RouterUp, AnnouncedLeave: e.Leaving, ReachesPlatform: e.Platform,
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
