// Package quarantine rejects requests whose runs coincide with crashes of the
// upstreams that run them.
//
// When an upstream crashes, every fingerprint that it was running gets a mark.
// VMs share their marks. A fingerprint that completes on any VM is cleared,
// because a poison request crashes each upstream that runs it. A fingerprint is
// quarantined after strongMarksThreshold crashes that no other fingerprint
// explains equally well, if in aloneMarksThreshold of them its VM ran nothing
// else on the upstream, or after totalMarksThreshold crashes regardless of other
// requests.
package quarantine

// Fingerprint identifies a request's content across resends. It is a digest of
// the team, the path and the body.
type Fingerprint [16]byte

// Mark records that a request was running on an upstream when it crashed. It is
// shared between VMs. Fingerprint, upstream and incarnation identify it: one
// crash marks a fingerprint once.
type Mark struct {
	Fingerprint Fingerprint `cbor:"1,keyasint"`
	Upstream    string      `cbor:"2,keyasint"`
	// Incarnation is the upstream's incarnation before the crash.
	Incarnation string `cbor:"3,keyasint"`
	// AtMS is the wall-clock time of the crash, in Unix milliseconds.
	AtMS int64 `cbor:"4,keyasint"`
	// Alone is true if the VM that recorded the mark ran no other request on
	// the upstream.
	Alone bool `cbor:"5,keyasint"`
}

// Clear records that a run of a marked fingerprint completed.
type Clear struct {
	Fingerprint Fingerprint `cbor:"1,keyasint"`
	AtMS        int64       `cbor:"2,keyasint"`
}

// Share is the body of quarantine.share: the sender's recent updates, at most
// maxShareItems of each kind.
type Updates struct {
	Marks  []Mark  `cbor:"1,keyasint"`
	Clears []Clear `cbor:"2,keyasint"`
	// Broken are marks for broken connections that are not yet confirmed as
	// crashes.
	Unconfirmed []Mark `cbor:"3,keyasint"`
}

func (s *Updates) empty() bool { return len(s.Marks)+len(s.Clears)+len(s.Unconfirmed) == 0 }

func (m Mark) crash() crash { return crash{upstream: m.Upstream, incarnation: m.Incarnation} }

// crash identifies a crash by the incarnation of the upstream that it ended.
type crash struct {
	upstream    string
	incarnation string
}
