package document

import (
	"crypto/sha256"
	"crypto/subtle"
	"encoding/hex"
	"strings"
)

// maxBearerKeyBytes is the maximum length of a bearer key; longer ones are not
// looked up.
const maxBearerKeyBytes = 256

// Index provides lookups in one document. It is immutable and safe for
// concurrent use, and lookups do not allocate. Callers must not modify the
// values that the returned pointers refer to.
type Index struct {
	doc               *Document
	teams             map[string]*Team
	teamsByKey        map[[sha256.Size]byte]keyEntry
	models            map[string]*Model
	versions          map[versionKey]*versionEntry
	stable            map[string]*Version
	allowedVersions   map[allowedVersionKey]struct{}
	allowedServices   map[allowedServiceKey]struct{}
	upstreams         map[string]*Upstream
	upstreamsByTarget map[string][]*Upstream
	ratingUpstreams   []*Upstream
	zones             map[string]*Zone
	classes           map[string]*Class
	services          map[string]*Service
}

type keyEntry struct {
	digest [sha256.Size]byte
	team   *Team
}

type versionKey struct{ model, version string }

type versionEntry struct {
	version *Version
	target  string
	// successor is the version that receives requests for this one; it is never
	// a withdrawn version.
	successor string
}

type allowedVersionKey struct{ team, model, version string }

type allowedServiceKey struct{ team, service string }

// NewIndex builds an index of a copy of d with defaults filled in. The document
// should be valid; in an invalid one, some lookups find nothing.
func NewIndex(d *Document) *Index {
	d = Clone(d)
	SetDefaults(d)
	x := &Index{
		doc:               d,
		teams:             make(map[string]*Team, len(d.Teams)),
		teamsByKey:        make(map[[sha256.Size]byte]keyEntry, len(d.Teams)),
		models:            make(map[string]*Model, len(d.Models)),
		versions:          make(map[versionKey]*versionEntry),
		stable:            make(map[string]*Version, len(d.Models)),
		allowedVersions:   make(map[allowedVersionKey]struct{}),
		allowedServices:   make(map[allowedServiceKey]struct{}),
		upstreams:         make(map[string]*Upstream, len(d.Upstreams)),
		upstreamsByTarget: make(map[string][]*Upstream),
		zones:             make(map[string]*Zone, len(d.Zones)),
		classes:           make(map[string]*Class, len(d.Classes)),
		services:          make(map[string]*Service, len(d.Services)),
	}
	x.addModels()
	x.addUpstreams()
	x.addTeams()
	for i := range d.Zones {
		x.zones[d.Zones[i].Name] = &d.Zones[i]
	}
	for i := range d.Classes {
		x.classes[d.Classes[i].Name] = &d.Classes[i]
	}
	for i := range d.Services {
		x.services[d.Services[i].Name] = &d.Services[i]
	}
	return x
}

func (x *Index) addModels() {
	for i := range x.doc.Models {
		m := &x.doc.Models[i]
		x.models[m.Name] = m
		for j := range m.Versions {
			v := &m.Versions[j]
			if v.State == Stable {
				x.stable[m.Name] = v
			}
			x.versions[versionKey{m.Name, v.Name}] = &versionEntry{version: v, target: m.Name + "@" + v.Name}
		}
	}
	for k, e := range x.versions {
		e.successor = x.resolveSuccessor(k)
	}
}

// resolveSuccessor follows the chain of successors from k to a version that is
// not withdrawn, or returns the stable version. A chain can't be longer than
// the number of versions, so the loop also ends on a cycle.
func (x *Index) resolveSuccessor(k versionKey) string {
	current := k
	for range x.versions {
		e := x.versions[current]
		if e == nil {
			break
		}
		if e.version.State != Withdrawn {
			return current.version
		}
		if e.version.Successor == "" {
			break
		}
		current.version = e.version.Successor
	}
	s := x.stable[k.model]
	if s == nil {
		return ""
	}
	// In an invalid document a withdrawn version may have the same name as the
	// stable one.
	if e := x.versions[versionKey{k.model, s.Name}]; e.version.State == Withdrawn {
		return ""
	}
	return s.Name
}

func (x *Index) addUpstreams() {
	for i := range x.doc.Upstreams {
		u := &x.doc.Upstreams[i]
		x.upstreams[u.Name] = u
		if u.Kind == Rating {
			x.ratingUpstreams = append(x.ratingUpstreams, u)
		}
		for _, s := range u.Serves {
			x.upstreamsByTarget[s] = append(x.upstreamsByTarget[s], u)
		}
	}
}

func (x *Index) addTeams() {
	for i := range x.doc.Teams {
		t := &x.doc.Teams[i]
		x.teams[t.Name] = t
		for _, h := range t.KeyHashes {
			b, err := hex.DecodeString(h)
			if err != nil || len(b) != sha256.Size {
				continue
			}
			digest := [sha256.Size]byte(b)
			x.teamsByKey[digest] = keyEntry{digest: digest, team: t}
		}
		for _, entry := range t.Models {
			x.allow(t.Name, entry)
		}
		for _, s := range t.Services {
			x.allowedServices[allowedServiceKey{t.Name, s}] = struct{}{}
		}
	}
}

func (x *Index) allow(team, entry string) {
	model, version, hasVersion := strings.Cut(entry, "@")
	m := x.models[model]
	if m == nil {
		return
	}
	for i := range m.Versions {
		if name := m.Versions[i].Name; !hasVersion || name == version {
			x.allowedVersions[allowedVersionKey{team, model, name}] = struct{}{}
		}
	}
}

// Generation returns the document's generation.
func (x *Index) Generation() uint64 { return x.doc.Generation }

// Document returns the indexed document; it must not be modified.
func (x *Index) Document() *Document { return x.doc }

// TeamByKey returns the team of a bearer key. Keys are looked up by digest, so
// the response time for an unknown key reveals nothing about valid keys.
func (x *Index) TeamByKey(bearer string) (*Team, bool) {
	if bearer == "" || len(bearer) > maxBearerKeyBytes {
		return nil, false
	}
	var buf [maxBearerKeyBytes]byte
	n := copy(buf[:], bearer)
	digest := sha256.Sum256(buf[:n])
	e, ok := x.teamsByKey[digest]
	if !ok || subtle.ConstantTimeCompare(e.digest[:], digest[:]) != 1 {
		return nil, false
	}
	return e.team, true
}

// Team returns a team by name.
func (x *Index) Team(name string) (*Team, bool) {
	t, ok := x.teams[name]
	return t, ok
}

// Allowed reports whether the team may use the version, regardless of the
// version's state.
func (x *Index) Allowed(team, model, version string) bool {
	_, ok := x.allowedVersions[allowedVersionKey{team, model, version}]
	return ok
}

// Model returns a model by name.
func (x *Index) Model(name string) (*Model, bool) {
	m, ok := x.models[name]
	return m, ok
}

// Version returns a version of a model by name.
func (x *Index) Version(model, version string) (*Version, bool) {
	if e := x.versions[versionKey{model, version}]; e != nil {
		return e.version, true
	}
	return nil, false
}

// StableVersion returns the stable version of a model.
func (x *Index) StableVersion(model string) (*Version, bool) {
	v, ok := x.stable[model]
	return v, ok
}

// Successor returns the name of the version that receives requests for a
// withdrawn version: the first version in its chain of successors that is not
// withdrawn, or else the stable version. A version that is not withdrawn is its
// own successor.
func (x *Index) Successor(model, version string) (string, bool) {
	e := x.versions[versionKey{model, version}]
	if e == nil || e.successor == "" {
		return "", false
	}
	return e.successor, true
}

// Target returns "model@version" without allocating, or "" for an unknown
// version.
func (x *Index) Target(model, version string) string {
	if e := x.versions[versionKey{model, version}]; e != nil {
		return e.target
	}
	return ""
}

// UpstreamsFor returns the upstreams that serve a target, which is
// "model@version" or the name of a plain service. It includes leaving upstreams
// and those in withdrawn zones.
func (x *Index) UpstreamsFor(target string) []*Upstream { return x.upstreamsByTarget[target] }

// RatingUpstreams returns the upstreams of kind Rating.
func (x *Index) RatingUpstreams() []*Upstream { return x.ratingUpstreams }

// Upstream returns an upstream by name.
func (x *Index) Upstream(name string) (*Upstream, bool) {
	u, ok := x.upstreams[name]
	return u, ok
}

// ZoneTakenOut reports whether a zone is withdrawn and receives no new requests.
// A zone that is not in the document counts as withdrawn.
func (x *Index) ZoneWithdrawn(zone string) bool {
	z, ok := x.zones[zone]
	return !ok || z.Withdrawn
}

// Zone returns an availability zone by name.
func (x *Index) Zone(name string) (*Zone, bool) {
	z, ok := x.zones[name]
	return z, ok
}

// TakesNewWork reports whether u accepts new requests: it is not leaving, and
// its zone is not withdrawn.
func (x *Index) AcceptsNewRequests(u *Upstream) bool {
	return !u.Leaving && !x.ZoneWithdrawn(u.Zone)
}

// Class returns a request class by name.
func (x *Index) Class(name string) (*Class, bool) {
	c, ok := x.classes[name]
	return c, ok
}
