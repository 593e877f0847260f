// Package versions chooses the model version that serves a request. The version
// must be allowed to the team and not withdrawn. New sessions are divided by
// roll-out share, and a session stays on its version.
package versions

import "time"

// Pin binds a session to one version of one model.
type Pin struct {
	Team    string `cbor:"1,keyasint"`
	Session string `cbor:"2,keyasint"`
	Model   string `cbor:"3,keyasint"`
	Version string `cbor:"4,keyasint"`
	// Generation is the generation of the document under which the pin was made.
	Generation uint64 `cbor:"5,keyasint"`
}

// Choice is the version chosen for one request.
type Choice struct {
	Model   string
	Version string
	// Moved is true if the session's version is no longer usable and the session
	// continues on another version.
	Moved bool
	// MovedFrom is the version that the session left; empty unless Moved.
	MovedFrom string
	// Reason is one of the reason constants. It is recorded in the timeline.
	Reason string
}

// Reasons of choices.
const (
	ReasonPin     = "pin"
	ReasonStable  = "stable"
	ReasonRollOut = "rollout"
	ReasonMoved   = "moved"
	ReasonNamed   = "named"
	ReasonOnly    = "only"
)

// Target returns "model@version".
func (c Choice) Target() string { return c.Model + "@" + c.Version }

// Share permits a version in roll-out to receive a fraction of the new sessions
// and requests.
type RollOutShare struct {
	Model   string `cbor:"1,keyasint"`
	Version string `cbor:"2,keyasint"`
	// Share is the fraction, from 0 to 1.
	Fraction float64 `cbor:"3,keyasint"`
	// NotAfter is when the share expires unless it is renewed; its requests then
	// go to the stable version. Zero means that it does not expire.
	NotAfter time.Time `cbor:"4,keyasint"`
	// Halted is true if the version turned bad: it receives no new requests, and
	// its sessions move as if it were withdrawn.
	Halted bool `cbor:"5,keyasint"`
}

// ChooseRequest describes a request for which a version is to be chosen.
type ChooseRequest struct {
	Team string
	// Model is a model's name, or "model@version" for one version.
	Model string
	// SessionToken is a token from an earlier answer, SessionName a name that the
	// caller chose; at most one of them is set.
	SessionToken string
	SessionName  string
	RequestID    string
	Now          time.Time
}

// PinRequest asks the home VM of a named session for its pin. The home stores
// the proposed pin unless it already has another one. MovedFrom is the version
// that the session leaves because it is no longer usable, empty if there is none.
type PinRequest struct {
	Proposed  Pin    `cbor:"1,keyasint"`
	MovedFrom string `cbor:"2,keyasint"`
	// ToBackup is true if the request goes to the backup VM, which stores the pin in
	// case the home fails. The backup sends no further requests.
	ToBackup bool `cbor:"3,keyasint"`
}

// PinAnswer is the pin in force at the home VM.
type PinAnswer struct {
	Pin Pin `cbor:"1,keyasint"`
	// Replaced is true if the proposed pin replaced the pin of MovedFrom.
	Replaced bool `cbor:"2,keyasint"`
}
