package document

import (
	"crypto/sha256"
	"encoding/hex"
	"slices"
	"time"

	"github.com/gravitational/trace"
)

// Default values of a document.
const (
	DefaultRamp         = 30 * time.Second
	DefaultStepTime     = 10 * time.Minute
	DefaultMaxErrorRate = 0.1
	DefaultCallTimeout  = 10 * time.Second
	DefaultDeadline     = 60 * time.Second
	DefaultColdLimit    = 1
	// LookupClass is the class of service calls that do not specify one.
	LookupClass = "lookup"
	// AutoModel is the model name that selects the class's cascade.
	AutoModel = "auto"
)

// Provision fills in default values. It is idempotent. The accepted document
// contains the filled-in values, so builds with different defaults interpret it
// in the same way.
func SetDefaults(d *Document) {
	for i := range d.Zones {
		setDefaultDuration(&d.Zones[i].Ramp, DefaultRamp)
	}
	for i := range d.Models {
		for j := range d.Models[i].Versions {
			provisionPlan(d.Models[i].Versions[j].RollOut)
		}
	}
	for i := range d.Upstreams {
		u := &d.Upstreams[i]
		if u.Kind == Engine && u.ColdLimit == 0 {
			u.ColdLimit = DefaultColdLimit
		}
	}
	for i := range d.Services {
		for j := range d.Services[i].Calls {
			c := &d.Services[i].Calls[j]
			setDefaultDuration(&c.Timeout, DefaultCallTimeout)
			if c.Class == "" {
				c.Class = LookupClass
			}
		}
	}
	for i := range d.Classes {
		setDefaultDuration(&d.Classes[i].Deadline, DefaultDeadline)
	}
}

func provisionPlan(p *RollOutPlan) {
	if p == nil {
		return
	}
	setDefaultDuration(&p.StepTime, DefaultStepTime)
	if p.MaxErrorRate == 0 {
		p.MaxErrorRate = DefaultMaxErrorRate
	}
}

func setDefaultDuration(d *Duration, def time.Duration) {
	if *d == 0 {
		*d = Duration(def)
	}
}

// Clone returns a deep copy of d.
func Clone(d *Document) *Document {
	c := *d
	c.Zones = slices.Clone(d.Zones)
	c.Models = slices.Clone(d.Models)
	for i := range c.Models {
		c.Models[i].Versions = cloneVersions(c.Models[i].Versions)
	}
	c.Upstreams = slices.Clone(d.Upstreams)
	for i := range c.Upstreams {
		c.Upstreams[i].Serves = slices.Clone(c.Upstreams[i].Serves)
	}
	c.Services = slices.Clone(d.Services)
	for i := range c.Services {
		c.Services[i].Calls = slices.Clone(c.Services[i].Calls)
	}
	c.Classes = slices.Clone(d.Classes)
	for i := range c.Classes {
		c.Classes[i].Cascade = slices.Clone(c.Classes[i].Cascade)
	}
	c.Teams = slices.Clone(d.Teams)
	for i := range c.Teams {
		t := &c.Teams[i]
		t.KeyHashes = slices.Clone(t.KeyHashes)
		t.Models = slices.Clone(t.Models)
		t.Services = slices.Clone(t.Services)
	}
	return &c
}

func cloneVersions(versions []Version) []Version {
	out := slices.Clone(versions)
	for i := range out {
		if out[i].RollOut == nil {
			continue
		}
		plan := *out[i].RollOut
		plan.Steps = slices.Clone(plan.Steps)
		out[i].RollOut = &plan
	}
	return out
}

// Digest returns the hex digest of a document's content without its generation
// and base. A submitter that received no response uses it to check whether its
// document was accepted.
func Digest(d *Document) (string, error) {
	c := *d
	c.Generation = 0
	c.Base = 0
	b, err := EncodeStored(&c)
	if err != nil {
		return "", trace.Wrap(err)
	}
	sum := sha256.Sum256(b)
	return hex.EncodeToString(sum[:]), nil
}

// HashKey returns the digest of a bearer key in the format of key_hashes.
func HashKey(bearer string) string {
	sum := sha256.Sum256([]byte(bearer))
	return hex.EncodeToString(sum[:])
}
