// Package versions chooses the version that serves a request: allowed by the
// team, not withdrawn, by roll-out share, and kept for a session.
package versions

import "time"

// Pin ties a session to one version of one model.
type Pin struct {
	Team    string `cbor:"1,keyasint"`
	Session string `cbor:"2,keyasint"`
	Model   string `cbor:"3,keyasint"`
	Version string `cbor:"4,keyasint"`
	// Generation is the document under which the pin was made.
	Generation uint64 `cbor:"5,keyasint"`
}

// Choice is the version for one request.
type Choice struct {
	Model   string
	Version string
	// Moved is true when the session's version was withdrawn and the session
	// now continues on its successor.
	Moved bool
	// MovedFrom is the withdrawn version; empty unless Moved.
	MovedFrom string
	// Reason is for the time line; one of the reason constants.
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

// Share is the permission to give a version in roll-out a part of the new
// sessions and requests.
type Share struct {
	Model   string `cbor:"1,keyasint"`
	Version string `cbor:"2,keyasint"`
	// Share is from 0 to 1.
	Share float64 `cbor:"3,keyasint"`
	// NotAfter is when the permission lapses unless it is renewed; the part
	// then goes to the stable version. Zero means never.
	NotAfter time.Time `cbor:"4,keyasint"`
	// Halted is true when the version turned bad: it gets no new work, and
	// sessions on it move as if it were withdrawn.
	Halted bool `cbor:"5,keyasint"`
}

// ChooseRequest asks for the version of one request.
type ChooseRequest struct {
	Team string
	// Model is a model's name, or "model@version" for one version.
	Model string
	// SessionToken is a token handed out earlier, and SessionName a name that
	// the caller chose; at most one of them is set.
	SessionToken string
	SessionName  string
	RequestID    string
	Now          time.Time
}

// PinRequest asks the home VM of a named session for its pin. The home keeps
// the proposed one unless it holds another; From is the version that the
// asker left because it was withdrawn, empty for none.
type PinRequest struct {
	Proposed  Pin    `cbor:"1,keyasint"`
	MovedFrom string `cbor:"2,keyasint"`
	// Second asks the VM next to the home, which keeps the pin against the
	// home's loss; it asks nobody else.
	ToBackup bool `cbor:"3,keyasint"`
}

// PinAnswer is the pin in force at the home VM.
type PinAnswer struct {
	Pin Pin `cbor:"1,keyasint"`
	// Replaced is true when the proposed pin took the place of From.
	Replaced bool `cbor:"2,keyasint"`
}
