package versions

import (
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/cranberrypier/cranberrypier/internal/document"
	"github.com/cranberrypier/cranberrypier/internal/invariant"
	"github.com/cranberrypier/cranberrypier/internal/result"
)

// decider chooses versions for one team and model under one document and one
// set of shares. Its results depend only on its fields.
type decider struct {
	idx    *document.Index
	shares []RollOutShare
	team   string
	model  *document.Model
	now    time.Time
}

func (d *decider) share(version string) (RollOutShare, bool) {
	for i := range d.shares {
		if s := &d.shares[i]; s.Version == version && s.Model == d.model.Name {
			return *s, true
		}
	}
	return RollOutShare{}, false
}

// usable reports whether the version accepts requests of the team: it is
// allowed to the team, not withdrawn and not halted. A halt does not apply to
// a stable version.
func (d *decider) usable(version string) bool {
	v, ok := d.idx.Version(d.model.Name, version)
	if !ok || v.State == document.Withdrawn || !d.idx.Allowed(d.team, d.model.Name, version) {
		return false
	}
	s, ok := d.share(version)
	return !ok || !s.Halted || v.State == document.Stable
}

// chooseNew chooses a version for a request or session without a pin. The
// choice depends on a hash of the seed and the version's name. Hence partitioned
// VMs with the same shares choose the same version, and a session that a small
// share selects stays selected when the share grows.
func (d *decider) chooseNew(seed string) (Choice, error) {
	remaining := 1.0
	for i := range d.model.Versions {
		v := &d.model.Versions[i]
		share := d.effectiveShare(v)
		if share <= 0 {
			continue
		}
		if remaining > 0 && hashFraction(seed, d.model.Name, v.Name) < share/remaining {
			return Choice{Model: d.model.Name, Version: v.Name, Reason: ReasonRollOut}, nil
		}
		remaining -= share
	}
	if s, ok := d.idx.StableVersion(d.model.Name); ok && d.usable(s.Name) {
		return Choice{Model: d.model.Name, Version: s.Name, Reason: ReasonStable}, nil
	}
	// The team may not use the stable version: use the first version that it may.
	for i := range d.model.Versions {
		if name := d.model.Versions[i].Name; d.usable(name) {
			return Choice{Model: d.model.Name, Version: name, Reason: ReasonOnly}, nil
		}
	}
	return Choice{}, d.noVersionError()
}

// chooseWithoutHome chooses for a named session whose pin holders did not answer:
// it returns the version that would be chosen without any roll-out, and no pinned
// version.
func (d *decider) chooseWithoutHome(proposed Choice, seed string) (Choice, string, error) {
	if proposed.Reason != ReasonRollOut {
		return proposed, "", nil
	}
	withoutShares := *d
	withoutShares.shares = nil
	c, err := withoutShares.chooseNew(seed)
	return c, "", err
}

// noVersionError returns why the team can use no version of the model.
func (d *decider) noVersionError() error {
	for i := range d.model.Versions {
		if d.idx.Allowed(d.team, d.model.Name, d.model.Versions[i].Name) {
			return result.New(result.NoVersion, "no allowed version of %s is in service", d.model.Name)
		}
	}
	return result.New(result.TeamNotAllowed, "team %s may not use model %s", d.team, d.model.Name)
}

// effectiveShare returns the share of new requests and sessions that a version
// in roll-out receives now. It is 0 once the share has expired.
func (d *decider) effectiveShare(v *document.Version) float64 {
	if v.State != document.RollOut || !d.usable(v.Name) {
		return 0
	}
	s, ok := d.share(v.Name)
	if !ok || (!s.NotAfter.IsZero() && !d.now.Before(s.NotAfter)) {
		return 0
	}
	return min(1, s.Fraction)
}

// hashFraction maps the seed and the version to a number in [0, 1).
func hashFraction(seed, model, version string) float64 {
	h := xxhash.New()
	_, _ = h.WriteString(seed)
	_, _ = h.WriteString("\x00" + model + "\x00" + version)
	return float64(h.Sum64()>>11) / (1 << 53)
}

// choosePinned chooses for a session that is pinned to version. The pin stays
// valid after the version's share has expired; only new sessions get another
// version then. If the version was withdrawn, halted, removed or is no longer
// allowed to the team, the session moves once, to the version's successor.
func (d *decider) choosePinned(version, seed string) (Choice, error) {
	if d.usable(version) {
		return Choice{Model: d.model.Name, Version: version, Reason: ReasonPin}, nil
	}
	c := Choice{Model: d.model.Name, Moved: true, MovedFrom: version, Reason: ReasonMoved}
	if successor, ok := d.idx.Successor(d.model.Name, version); ok && successor != version && d.usable(successor) {
		c.Version = successor
		return c, nil
	}
	fallback, err := d.chooseNew(seed)
	if err != nil {
		return Choice{}, err
	}
	c.Version = fallback.Version
	return c, nil
}

// chooseExact chooses the version that the caller named in the request. If it is
// not usable, its name is the seed of the choice, so that all requests of the team
// that name it move to the same version.
func (d *decider) chooseExact(version string) (Choice, error) {
	if _, ok := d.idx.Version(d.model.Name, version); !ok {
		return Choice{}, result.New(result.UnknownModel, "model %s has no version %s", d.model.Name, version)
	}
	if !d.idx.Allowed(d.team, d.model.Name, version) {
		return Choice{}, result.New(result.TeamNotAllowed, "team %s may not use %s@%s", d.team, d.model.Name, version)
	}
	c, err := d.choosePinned(version, version)
	if err == nil && !c.Moved {
		c.Reason = ReasonOnly
	}
	return c, err
}

// checkInvariants checks that the chosen version is allowed and not withdrawn, and
// that it differs from the pinned version only if that one is no longer usable.
func (d *decider) checkInvariants(c Choice, pinned string) {
	v, ok := d.idx.Version(c.Model, c.Version)
	invariant.Check(ok && d.idx.Allowed(d.team, c.Model, c.Version), invariant.AllowedModel,
		"team %s was given %s", d.team, c.Target())
	invariant.Check(ok && v.State != document.Withdrawn, invariant.NoWorkOnWithdrawnVersion,
		"withdrawn %s was chosen", c.Target())
	consistent := pinned == "" || pinned == c.Version || (c.Moved && c.MovedFrom == pinned && !d.usable(pinned))
	invariant.Check(consistent, invariant.SessionVersion,
		"session on %s@%s was given %s, moved %v", c.Model, pinned, c.Version, c.Moved)
}

// StillAllowed checks a choice again when the request is dispatched, against
// the document that is in force then.
func StillAllowed(idx *document.Index, team string, c Choice) error {
	if !idx.Allowed(team, c.Model, c.Version) {
		return result.New(result.TeamNotAllowed, "team %s may no longer use %s", team, c.Target())
	}
	if v, ok := idx.Version(c.Model, c.Version); !ok || v.State == document.Withdrawn {
		return result.New(result.NoVersion, "%s was withdrawn", c.Target())
	}
	return nil
}

func splitModel(name string) (model, version string) {
	model, version, _ = strings.Cut(name, "@")
	return model, version
}
