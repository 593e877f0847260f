package versions

import (
	lru "github.com/hashicorp/golang-lru/v2"
)

// pinKey identifies the pin of one model in one named session.
type pinKey struct{ team, session, model string }

func keyOf(p Pin) pinKey { return pinKey{p.Team, p.Session, p.Model} }

// Pins is a VM's bounded cache of named sessions' pins. It holds the pins of
// sessions whose home or backup is this VM, and of sessions that this VM has
// served. It does no I/O and is not safe for concurrent use.
//
// A pin changes only if the request's MovedFrom is the pin's current version.
// Hence a session that two VMs move at the same time is moved once.
type Pins struct {
	pins *lru.Cache[pinKey, pinEntry]
}

// pinEntry is a pin with a flag for whether the session's home confirmed it.
type pinEntry struct {
	pin       Pin
	confirmed bool
}

// NewPins returns a cache of at most size pins. The least recently used pins are
// evicted, and their sessions fall back to the deterministic choice.
func NewPins(size int) *Pins {
	c, err := lru.New[pinKey, pinEntry](max(1, size))
	if err != nil {
		panic(err) // a positive size can't fail
	}
	return &Pins{pins: c}
}

// Claim answers a request at the session's home or backup.
func (p *Pins) Propose(r PinRequest) PinAnswer {
	k := keyOf(r.Proposed)
	entry, ok := p.pins.Get(k)
	switch {
	case !ok:
		p.pins.Add(k, pinEntry{r.Proposed, true})
		return PinAnswer{Pin: r.Proposed, Replaced: r.MovedFrom != ""}
	case r.MovedFrom != "" && entry.pin.Version == r.MovedFrom:
		p.pins.Add(k, pinEntry{r.Proposed, true})
		return PinAnswer{Pin: r.Proposed, Replaced: true}
	}
	return PinAnswer{Pin: entry.pin}
}

// has reports whether the session's pin is cached, without marking it as used.
func (p *Pins) has(k pinKey) bool { return p.pins.Contains(k) }

// get returns the cached pin and marks it as used.
func (p *Pins) get(k pinKey) (pinEntry, bool) { return p.pins.Get(k) }

// put stores a pin that the home answered, or one that was made without the home.
func (p *Pins) put(pin Pin, confirmed bool) { p.pins.Add(keyOf(pin), pinEntry{pin, confirmed}) }
