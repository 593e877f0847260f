package drain

import (
	"time"

	"github.com/cranberrypier/cranberrypier/internal/invariant"
)

// State is the state machine of a graceful shutdown. It makes no calls.
//
// Invariant: phases only advance, since a VM that has announced its departure
// to its peers must not continue under the same incarnation.
type State struct {
	cfg        Config
	phase      Phase
	phaseStart time.Time
}

// New returns a state machine in phase Serving.
func New(cfg Config) *State {
	return &State{cfg: cfg}
}

// Phase returns the current phase.
func (s *State) Phase() Phase { return s.phase }

// Step applies one message at the given time and returns the phases entered.
func (s *State) Step(now time.Time, m Message) []Action {
	switch m := m.(type) {
	case Stop:
		return s.stop(now)
	case Tick:
		return s.tick(now, m)
	case Flushed:
		return s.flushed(now)
	}
	return nil
}

func (s *State) stop(now time.Time) []Action {
	if s.phase != Serving {
		return nil
	}
	return s.enter(now, Announcing, 0)
}

func (s *State) tick(now time.Time, m Tick) []Action {
	elapsed := now.Sub(s.phaseStart)
	switch s.phase {
	case Announcing:
		if elapsed >= s.cfg.AnnounceDuration {
			return s.enter(now, Finishing, 0)
		}
	case Finishing:
		if m.InFlight == 0 {
			return s.enter(now, Flushing, 0)
		}
		if elapsed >= s.cfg.GracePeriod {
			invariant.Check(false, invariant.PlannedStopAbortsNone, "%d requests aborted when the grace time expired after %s", m.InFlight, elapsed)
			return s.enter(now, Flushing, m.InFlight)
		}
	}
	return nil
}

func (s *State) flushed(now time.Time) []Action {
	if s.phase != Flushing {
		return nil
	}
	return s.enter(now, Stopped, 0)
}

func (s *State) enter(now time.Time, p Phase, aborted int) []Action {
	s.phase = p
	s.phaseStart = now
	return []Action{EnterPhase{Phase: p, Aborted: aborted}}
}
