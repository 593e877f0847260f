package versions

import (
	lru "github.com/hashicorp/golang-lru/v2"
)

// pinKey names one model's pin of one named session.
type pinKey struct{ team, session, model string }

func keyOf(p Pin) pinKey { return pinKey{p.Team, p.Session, p.Model} }

// Pins is a VM's bounded store of named sessions' pins: of the sessions whose
// home it is, of copies, and of those that it served. It is pure and not safe
// for concurrent use.
//
// A pin changes only when its holder names the version that it replaces, so
// that two VMs that move a session at once make one move.
type Pins struct {
	pins *lru.Cache[pinKey, held]
}

// held is a pin and whether the session's home confirmed it.
type held struct {
	pin       Pin
	confirmed bool
}

// NewPins returns a store of at most size pins; the least recently used ones
// are dropped, and their sessions fall back to the deterministic choice.
func NewPins(size int) *Pins {
	c, err := lru.New[pinKey, held](max(1, size))
	if err != nil {
		panic(err) // a positive size can't fail
	}
	return &Pins{pins: c}
}

// Claim answers a request at the session's home.
func (p *Pins) Claim(r PinRequest) PinAnswer {
	k := keyOf(r.Proposed)
	h, ok := p.pins.Get(k)
	switch {
	case !ok:
		p.pins.Add(k, held{r.Proposed, true})
		return PinAnswer{Pin: r.Proposed, Replaced: r.MovedFrom != ""}
	case r.MovedFrom != "" && h.pin.Version == r.MovedFrom:
		p.pins.Add(k, held{r.Proposed, true})
		return PinAnswer{Pin: r.Proposed, Replaced: true}
	}
	return PinAnswer{Pin: h.pin}
}

// has reports whether the session's pin is known here.
func (p *Pins) has(k pinKey) bool { return p.pins.Contains(k) }

// get returns what is known here.
func (p *Pins) get(k pinKey) (held, bool) { return p.pins.Get(k) }

// keep notes a pin learned from the home, or made without it.
func (p *Pins) keep(pin Pin, confirmed bool) { p.pins.Add(keyOf(pin), held{pin, confirmed}) }
