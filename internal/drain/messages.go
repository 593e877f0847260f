// Package drain shuts down a process gracefully. The process first reports
// itself unready, then rejects new requests, waits for the requests in
// progress, and finally flushes the data that must be kept.
package drain

import "time"

// Phase is a phase of a graceful shutdown. Phases only advance.
type Phase int

// Phases of a graceful shutdown.
const (
	// Serving accepts new requests.
	Serving Phase = iota
	// Announcing still accepts new requests, but reports the process as unready,
	// so that the load balancer and the peers stop sending them.
	Announcing
	// Finishing rejects new requests and waits for those in progress.
	Finishing
	// Flushing writes the data that must be kept.
	Flushing
	// Stopped is the end of the shutdown.
	Stopped
)

// String returns the name of the phase for logs and the timeline.
func (p Phase) String() string {
	return [...]string{"serving", "announcing", "finishing", "flushing", "stopped"}[p]
}

// Message is an input of the state machine.
type Message interface{ message() }

// Stop starts the shutdown. A repeated Stop has no effect.
type Stop struct{}

// Tick is the periodic event with the current number of requests.
type Tick struct {
	// InFlight is the number of requests in progress.
	InFlight int
}

// Flushed reports that the flush is complete or has timed out.
type Flushed struct{}

func (Stop) message()    {}
func (Tick) message()    {}
func (Flushed) message() {}

// Action is an output of the state machine.
type Action interface{ action() }

// EnterPhase reports that a phase begins. Aborted is the number of requests
// that were still in progress at the start of Flushing. It is zero unless the
// grace time expired.
type EnterPhase struct {
	Phase   Phase
	Aborted int
}

func (EnterPhase) action() {}

// Config contains the durations of a graceful shutdown.
type Config struct {
	// Announce is the duration of Announcing.
	AnnounceDuration time.Duration
	// Grace is the maximum wait for the requests in progress. It has to exceed
	// the longest deadline of a request, or the shutdown may abort one.
	GracePeriod time.Duration
}
