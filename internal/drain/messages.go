// Package drain stops a process gracefully: unready first, then no new work,
// then the work in progress ends, then what must last is flushed.
package drain

import "time"

// Phase is how far a planned stop has come. Phases only advance.
type Phase int

// The phases of a planned stop.
const (
	// Serving takes new work.
	Serving Phase = iota
	// Announcing still takes new work, but reports itself unready, so that the
	// balancer and the peers stop sending any.
	Announcing
	// Finishing refuses new work and waits for the work in progress.
	Finishing
	// Flushing writes what must last.
	Flushing
	// Stopped has nothing left to do.
	Stopped
)

// String names the phase for logs and the time line.
func (p Phase) String() string {
	return [...]string{"serving", "announcing", "finishing", "flushing", "stopped"}[p]
}

// Message is an input of the state machine.
type Message interface{ message() }

// Stop asks for a planned stop. A repeat changes nothing.
type Stop struct{}

// Tick carries the work in progress at that moment.
type Tick struct {
	// InFlight is the number of requests in progress.
	InFlight int
}

// Flushed reports that everything that must last is written, or that the
// flush ran out of time.
type Flushed struct{}

func (Stop) message()    {}
func (Tick) message()    {}
func (Flushed) message() {}

// Action is an output of the state machine.
type Action interface{ action() }

// Enter tells the runner that a phase begins. Cut is the number of requests
// that were still in progress when Flushing began; zero unless the grace time
// ran out.
type EnterPhase struct {
	Phase   Phase
	Aborted int
}

func (EnterPhase) action() {}

// Config sets the times of a planned stop.
type Config struct {
	// Announce is how long Announcing lasts.
	Announce time.Duration
	// Grace is the longest wait for the work in progress. It has to exceed
	// the longest deadline of a request, or the stop may cut one.
	Grace time.Duration
}
