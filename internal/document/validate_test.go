package document

import (
	"fmt"
	"math"
	"math/rand/v2"
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/cranberrypier/cranberrypier/internal/result"
)

func TestParseRejectsInvalidYAML(t *testing.T) {
	cases := []struct {
		name string
		text string
		want string
	}{
		{"an unknown key", "schema: 1\nshcema: 1\n", `line 2: shcema: unknown field "shcema"`},
		{"a duplicate key", "schema: 1\nschema: 1\n", "line 2: "},
		{"a tab", "schema: 1\nzones:\n\t- name: a\n", "line 3: a tab stands in the indentation"},
		{"an alias", "zones: &a [{name: a}]\nmodels: *a\n", "line 1: Anchor is not allowed"},
		{"a merge key", "<<: {schema: 1}\n", "MergeKey is not allowed"},
		{"a tag", "schema: !!int 1\n", "Tag is not allowed"},
		{"a complex key", "? schema\n: 1\n", "MappingKey is not allowed"},
		{"an alias bomb", "a: &a [x,x,x,x,x,x,x,x,x]\nb: &b [*a,*a,*a,*a]\nc: [*b,*b]\n", "Anchor is not allowed"},
		{"deep flow sequences", "zones: " + strings.Repeat("[", 500_000), "nested too deeply"},
		{"deep flow mappings", "zones: " + strings.Repeat("{a: ", 200_000), "nested too deeply"},
		{"deep block sequences", strings.Repeat("- ", 300_000) + "x", "nested too deeply"},
		{"a text above the bound", strings.Repeat("#", MaxBytes+1), "expected at most 1048576"},
		{"two YAML documents", "schema: 1\n---\nschema: 1\n", "expected exactly one"},
		{"nothing", "", "expected exactly one"},
		{"a list", "- 1\n", ""},
		{"a text for a number", "schema: one\n", "line 1: schema: "},
		{"a time without a unit", "classes: [{name: a, deadline: 5}]\n", `line 1: classes[0].deadline: "5" is not a valid duration`},
		{"control characters", "schema: \x00\x01\n", ""},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			_, err := Parse([]byte(c.text))
			require.Error(t, err)
			assert.True(t, result.Is(err, result.DocumentInvalid))
			assert.Contains(t, FaultsOf(err).Error(), c.want)
		})
	}
}

func TestValidateFindsEachFault(t *testing.T) {
	nan := math.NaN()
	cases := []struct {
		name   string
		change func(d *Document)
		want   string
	}{
		{"no zones", func(d *Document) { d.Zones = nil }, "zones: missing"},
		{"a zone twice", func(d *Document) { d.Zones[1].Name = "az-a" }, `zones[1].name: "az-a" is already used in zones[0]`},
		{"a name with an at sign", func(d *Document) { d.Fleet = "a@b" }, `fleet: "a@b" is not a valid name`},
		{"a name that is too long", func(d *Document) { d.Fleet = strings.Repeat("a", 65) }, "fleet: the name is longer"},
		{"a negative ramp", func(d *Document) { d.Zones[0].Ramp = -1 }, "zones[0].ramp: -1ns is out of range"},
		{"a cycle of successors", func(d *Document) { d.Models[0].Versions[0].Successor = "v2" }, "models[0].versions[0].successor: the successors form a cycle: v1 -> v2 -> v1"},
		{"its own successor", func(d *Document) { d.Models[0].Versions[1].Successor = "v2" }, "cycle: v2 -> v2"},
		{"an unknown successor", func(d *Document) { d.Models[0].Versions[1].Successor = "v9" }, `model "draft-small" has no version "v9"`},
		{"two stable versions", func(d *Document) { d.Models[0].Versions[1] = Version{Name: "v2", State: Stable} }, "models[0].versions: 2 versions are stable"},
		{"no stable version", func(d *Document) { d.Models[1].Versions[0].State = Withdrawn }, "models[1].versions: 0 versions are stable"},
		{"the reserved model name", func(d *Document) { d.Models[1].Name = "auto" }, `models[1].name: "auto" is reserved`},
		{"a plan outside a roll-out", func(d *Document) { d.Models[0].Versions[1].State = Withdrawn }, "versions[1].rollout: a roll-out plan is required in state rollout and not allowed in other states"},
		{"no plan in a roll-out", func(d *Document) { d.Models[0].Versions[1].RollOut = nil }, "versions[1].rollout: a roll-out plan"},
		{"falling shares", func(d *Document) { d.Models[0].Versions[1].RollOut.Steps = []float64{0.5, 0.1} }, "rollout.steps[1]: 0.1 is not above"},
		{"a share of zero", func(d *Document) { d.Models[0].Versions[1].RollOut.Steps = []float64{0} }, "steps[0]: 0 is out of range"},
		{"a share above one", func(d *Document) { d.Models[0].Versions[1].RollOut.Steps = []float64{1.5} }, "steps[0]: 1.5 is out of range"},
		{"a share that is no number", func(d *Document) { d.Models[0].Versions[1].RollOut.Steps = []float64{nan} }, "steps[0]: NaN is out of range"},
		{"no shares", func(d *Document) { d.Models[0].Versions[1].RollOut.Steps = nil }, "steps: missing"},
		{"a cost that is no number", func(d *Document) { d.Models[0].Versions[0].Cost = nan }, "cost: NaN is out of range"},
		{"a quality above one", func(d *Document) { d.Models[0].Versions[0].Quality = 78 }, "quality: 78 is out of range"},
		{"an unknown state", func(d *Document) { d.Models[0].Versions[0].State = "new" }, `state: "new" is not a valid state`},
		{"a host name for an address", func(d *Document) { d.Upstreams[0].Address = "engine:80" }, `upstreams[0].address: "engine:80" is not a valid address`},
		{"an address without a port", func(d *Document) { d.Upstreams[0].Address = "127.0.0.1:0" }, "upstreams[0].address"},
		{"an address twice", func(d *Document) { d.Upstreams[1].Address = d.Upstreams[0].Address }, `upstreams[1].address: "127.0.0.1:17101" is already used in upstreams[0]`},
		{"a zone that does not exist", func(d *Document) { d.Upstreams[0].Zone = "az-z" }, `upstreams[0].zone: no availability zone is named "az-z"`},
		{"a version that does not exist", func(d *Document) { d.Upstreams[0].Serves[1] = "draft-small@v9" }, `upstreams[0].serves[1]: no version is named "draft-small@v9"`},
		{"an engine that serves a model without a version", func(d *Document) { d.Upstreams[0].Serves[0] = "draft-small" }, "upstreams[0].serves[0]: no version"},
		{"a limit of zero", func(d *Document) { d.Upstreams[0].Limit = 0 }, "upstreams[0].limit: 0 is out of range"},
		{"a cold limit above the limit", func(d *Document) { d.Upstreams[0].ColdLimit = 17 }, "upstreams[0].cold_limit: 17 is out of range, expected 1 to the limit 16"},
		{"an unknown kind", func(d *Document) { d.Upstreams[0].Kind = "gpu" }, `upstreams[0].kind: "gpu" is not a valid kind`},
		{"a plain upstream with fencing", func(d *Document) { d.Upstreams[3].Fencing = true }, "upstreams[3]: cold_limit, fencing"},
		{"a rating upstream that serves", func(d *Document) { d.Upstreams[5].Serves = []string{"orders"} }, "upstreams[5].serves: a rating upstream"},
		{"a path with dot segments", func(d *Document) { d.Services[0].Calls[1].Path = "/stock/../confirmations" }, "services[0].calls[1].path"},
		{"a wildcard inside a path", func(d *Document) { d.Services[0].Calls[0].Path = "/*/stock" }, "services[0].calls[0].path"},
		{"a method in small letters", func(d *Document) { d.Services[0].Calls[0].Method = "get" }, `services[0].calls[0].method: "get" is not a valid method`},
		{"a call twice", func(d *Document) { d.Services[0].Calls[1] = d.Services[0].Calls[0] }, `services[0].calls[1]: "GET /stock/*" is already used`},
		{"a service named like a model", func(d *Document) { d.Services[0].Name = "draft-small" }, "services[0].name: a model also has the name"},
		{"a class that does not exist", func(d *Document) { d.Services[0].Calls[0].Class = "rush" }, `calls[0].class: no class is named "rush"`},
		{"a cascade of an unknown model", func(d *Document) { d.Classes[1].Cascade[0] = "draft" }, `classes[1].cascade[0]: no model is named "draft"`},
		{"a priority of ten", func(d *Document) { d.Classes[1].Priority = 10 }, "classes[1].priority: 10 is out of range"},
		{"a deadline of two hours", func(d *Document) { d.Classes[1].Deadline = 2 * maxDeadline }, "classes[1].deadline: 2h0m0s is out of range"},
		{"a key in clear", func(d *Document) { d.Teams[0].KeyHashes[0] = "demo-engravers-key" }, "teams[0].key_hashes[0]: expected a SHA-256 digest"},
		{"a key of two teams", func(d *Document) { d.Teams[1].KeyHashes = d.Teams[0].KeyHashes }, `teams[1].key_hashes[0]: the key is already used by team "engravers"`},
		{"a team without a key", func(d *Document) { d.Teams[0].KeyHashes = nil }, "teams[0].key_hashes: missing"},
		{"a team's model that does not exist", func(d *Document) { d.Teams[0].Models[0] = "draft-small@v7" }, `teams[0].models[0]: no version is named "draft-small@v7"`},
		{"a team's service that does not exist", func(d *Document) { d.Teams[0].Services[0] = "stock" }, `teams[0].services[0]: no service is named "stock"`},
		{"a rate of zero", func(d *Document) { d.Teams[0].RequestsPerSecond = 0 }, "teams[0].requests_per_second: 0 is out of range"},
		{"an infinite rate", func(d *Document) { d.Teams[0].RequestsPerSecond = math.Inf(1) }, "teams[0].requests_per_second: +Inf is out of range"},
		{"no default class", func(d *Document) { d.Teams[0].DefaultClass = "" }, `teams[0].default_class: no class is named ""`},
	}
	all := loadExample(t, "demo.yaml")
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			d := loadExample(t, "demo.yaml")
			c.change(d)
			err := Validate(d)
			require.Error(t, err)
			assert.True(t, result.Is(err, result.DocumentInvalid))
			assert.Contains(t, FaultsOf(err).Error(), c.want)
			for _, f := range FaultsOf(err) {
				assert.NotZero(t, f.Line, "%s", f)
			}
		})
	}
	require.NoError(t, Validate(all))
	all.Schema = SchemaVersion + 1
	assert.True(t, result.Is(Validate(all), result.DocumentUnsupported))
}

func TestStoredFormIsBounded(t *testing.T) {
	d := loadExample(t, "demo.yaml")
	for i := range 20_000 {
		d.Zones = append(d.Zones, Zone{Name: fmt.Sprintf("zone-%050d", i), Region: "r", Ramp: 1})
	}
	assert.ErrorContains(t, Validate(d), "the stored form has")
}

// TestAnyDocumentIsHandled builds documents from random, mostly invalid parts
// and checks that nothing panics or loops forever and that a successor is never
// a withdrawn version.
func TestAnyDocumentIsHandled(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		name := rapid.SampledFrom([]string{"a", "b", "c", "", "a@b"})
		d := &Document{Schema: 1, Fleet: name.Draw(t, "fleet"), Zones: []Zone{{Name: name.Draw(t, "zone"), Region: "r"}}}
		for range rapid.IntRange(0, 3).Draw(t, "models") {
			m := Model{Name: name.Draw(t, "model")}
			for range rapid.IntRange(0, 4).Draw(t, "versions") {
				m.Versions = append(m.Versions, Version{
					Name:      name.Draw(t, "version"),
					State:     rapid.SampledFrom([]State{Stable, Withdrawn, Withdrawn, "x"}).Draw(t, "state"),
					Successor: name.Draw(t, "successor"),
				})
			}
			d.Models = append(d.Models, m)
		}
		valid := Validate(d) == nil
		x := NewIndex(d)
		for _, m := range d.Models {
			for _, v := range m.Versions {
				next, ok := x.Successor(m.Name, v.Name)
				if !ok {
					assert.False(t, valid)
					continue
				}
				to, found := x.Version(m.Name, next)
				assert.True(t, found)
				assert.NotEqual(t, Withdrawn, to.State)
			}
		}
	})
}

// TestIndexAgreesWithTheDocument compares index lookups with linear searches in
// random variations of an example document.
func TestIndexAgreesWithTheDocument(t *testing.T) {
	rng := rand.New(rand.NewPCG(1, 2))
	for range 200 {
		d := loadExample(t, "workshop.yaml")
		for i := range d.Zones {
			d.Zones[i].Withdrawn = rng.IntN(2) == 0
		}
		for i := range d.Upstreams {
			d.Upstreams[i].Leaving = rng.IntN(3) == 0
		}
		x := NewIndex(d)
		d.Teams[0].Name = "changed after indexing"
		for _, team := range x.Document().Teams {
			found, ok := x.TeamByKey("example-" + team.Name + "-key")
			require.True(t, ok)
			require.Equal(t, team.Name, found.Name)
			for _, m := range d.Models {
				for _, v := range m.Versions {
					want := containsAny(team.Models, m.Name, m.Name+"@"+v.Name)
					require.Equal(t, want, x.Allowed(team.Name, m.Name, v.Name))
				}
			}
		}
		for i := range d.Upstreams {
			u := &d.Upstreams[i]
			out := false
			for _, z := range d.Zones {
				out = out || (z.Name == u.Zone && z.Withdrawn)
			}
			require.Equal(t, !out && !u.Leaving, x.AcceptsNewRequests(u))
		}
	}
}

func containsAny(list []string, names ...string) bool {
	for _, have := range list {
		for _, n := range names {
			if have == n {
				return true
			}
		}
	}
	return false
}

func TestCallsAreMatchedInOneWayOnly(t *testing.T) {
	x := NewIndex(&Document{Services: []Service{{Name: "s", Calls: []Call{
		{Method: "GET", Path: "/stock/*", Repeatable: true},
		{Method: "GET", Path: "/stock/deep/*", Class: "deep"},
		{Method: "GET", Path: "/stock/deep/one", Class: "one"},
		{Method: "POST", Path: "/confirmations"},
	}}}})
	cases := []struct{ method, path, want string }{
		{"GET", "/stock/12", "/stock/*"},
		{"GET", "/stock/deep/two", "/stock/deep/*"},
		{"GET", "/stock/deep/one", "/stock/deep/one"},
		{"POST", "/confirmations", "/confirmations"},
		{"POST", "/stock/12", ""},
		{"GET", "/stock/", ""},
		{"GET", "/stock", ""},
		{"POST", "/confirmations/", ""},
		{"GET", "/stock/../confirmations", ""},
		{"GET", "/stock/./12", ""},
		{"GET", "/stock//12", ""},
		{"GET", "/stock/%2e%2e/x", ""},
		{"GET", "/stock/..;/x", ""},
		{"GET", `/stock/..\x`, ""},
		{"GET", "stock/12", ""},
		{"GET", "", ""},
	}
	for _, c := range cases {
		call, ok := x.Call("s", c.method, c.path)
		require.Equal(t, c.want != "", ok, "%s %s", c.method, c.path)
		if ok {
			assert.Equal(t, c.want, call.Path, "%s %s", c.method, c.path)
		}
	}
}

func TestDiffNamesEntries(t *testing.T) {
	a, b := loadExample(t, "demo.yaml"), loadExample(t, "demo.yaml")
	b.Zones[0], b.Zones[1] = b.Zones[1], b.Zones[0]
	b.Zones[1].Withdrawn = true
	b.Models[0].Versions[1].RollOut.Steps = []float64{0.1, 1}
	b.Upstreams = b.Upstreams[1:]
	b.Services[0].Calls = append(b.Services[0].Calls, Call{Method: "POST", Path: "/deposits"})
	var lines []string
	for _, c := range Diff(a, b) {
		lines = append(lines, c.String())
	}
	assert.Equal(t, []string{
		"~ zones[az-a].taken_out: false -> true",
		"~ models[draft-small].versions[v2].rollout.steps: [0.05 0.25 0.5 1] -> [0.1 1]",
		"- upstreams[e1]: {name=e1 zone=az-a kind=engine address=127.0.0.1:17101 serves=[draft-small@v1 draft-small@v2] limit=16 cold_limit=2 fencing=true accelerators=1}",
		"+ services[orders].calls[POST /deposits]: {method=POST path=/deposits}",
	}, lines)
}
