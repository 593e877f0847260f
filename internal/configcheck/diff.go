package configcheck

import (
	"fmt"
	"maps"
	"slices"

	"github.com/cranberrypier/cranberrypier/internal/result"
)

// ChangeKind says how a part or a field differs.
type ChangeKind string

// The kinds of changes.
const (
	Added   ChangeKind = "added"
	Removed ChangeKind = "removed"
	Changed ChangeKind = "changed"
)

// Change is a difference of a configuration from an earlier version. The path is that of
// the new version, and for a removed part that of the old one. Name identifies the part.
type Change struct {
	Kind          ChangeKind
	Path          Path
	Name          string
	Before, After string
}

// entry is one part of a configuration as the comparison needs it.
type entry struct {
	index  int
	name   string
	fields map[Field]string
}

// Diff returns what differs between two versions, by part and field.
func Diff(before, after *Config) []Change {
	out := diffFields(Path{PartConfig, -1, FieldNone, -1}, "", before.fields(), after.fields())
	out = append(out, diffParts(PartRoute, before.routeEntries(), after.routeEntries())...)
	out = append(out, diffParts(PartService, before.serviceEntries(), after.serviceEntries())...)
	out = append(out, diffParts(PartTeam, before.teamEntries(), after.teamEntries())...)
	return append(out, diffKeys(before, after)...)
}

// CheckVersion returns a finding if VMs that have a configuration ignore another one,
// because its version is not newer.
func CheckVersion(before, after *Config) []Finding {
	if after.Version > before.Version {
		return nil
	}
	return []Finding{{result.ConfigVersionNotNewer, Path{PartConfig, -1, FieldVersion, -1}, fmt.Sprintf("version %d is not newer than %d", after.Version, before.Version)}}
}

// diffParts compares the parts of one list. They are matched by key, so that a changed
// order is no difference.
func diffParts(p Part, before, after map[string]entry) (out []Change) {
	for _, key := range slices.Sorted(maps.Keys(before)) {
		if _, ok := after[key]; !ok {
			out = append(out, Change{Kind: Removed, Path: Path{p, before[key].index, FieldNone, -1}, Name: before[key].name})
		}
	}
	for _, key := range slices.Sorted(maps.Keys(after)) {
		a := after[key]
		path := Path{p, a.index, FieldNone, -1}
		if b, ok := before[key]; ok {
			out = append(out, diffFields(path, a.name, b.fields, a.fields)...)
			continue
		}
		out = append(out, Change{Kind: Added, Path: path, Name: a.name})
	}
	return out
}

func diffFields(path Path, name string, before, after map[Field]string) (out []Change) {
	for _, f := range slices.Sorted(maps.Keys(after)) {
		if before[f] != after[f] {
			path.Field = f
			out = append(out, Change{Kind: Changed, Path: path, Name: name, Before: before[f], After: after[f]})
		}
	}
	return out
}

// diffKeys compares the keys of the teams that both versions have. Keys are secrets, so
// only their numbers are told.
func diffKeys(before, after *Config) (out []Change) {
	old := make(map[string]Team)
	for _, t := range before.Teams {
		old[t.Name] = t
	}
	for _, t := range after.Teams {
		b, ok := old[t.Name]
		if !ok {
			continue
		}
		added, removed := countMissing(t.Keys, b.Keys), countMissing(b.Keys, t.Keys)
		if added+removed > 0 {
			out = append(out, Change{Changed, Path{PartTeam, t.Index, FieldKeys, -1}, t.Name, fmt.Sprintf("%d keys", len(b.Keys)), fmt.Sprintf("%d keys: %d new, %d gone", len(t.Keys), added, removed)})
		}
	}
	return out
}

func countMissing(keys, in []string) (n int) {
	for _, k := range keys {
		if !slices.Contains(in, k) {
			n++
		}
	}
	return n
}

func (c *Config) fields() map[Field]string {
	return map[Field]string{
		FieldVersion: fmt.Sprint(c.Version), FieldMaxBody: fmt.Sprint(c.MaxBodyBytes), FieldMaxHeader: fmt.Sprint(c.MaxHeaderBytes), FieldIdleTimeout: fmt.Sprint(c.IdleTimeout),
	}
}

func (c *Config) routeEntries() map[string]entry {
	out := make(map[string]entry)
	for _, r := range c.Routes {
		out[routeKey(r.Route)] = entry{r.Index, r.Name, map[Field]string{
			FieldName: r.Name, FieldType: fmt.Sprintf("stream %t, resumable %t, repeatable %t", r.Stream, r.Resumable, r.RetryPolicy != 0),
			FieldTimeout: fmt.Sprint(r.Timeout), FieldTargetLatency: fmt.Sprint(r.TargetLatency), FieldTargetGap: fmt.Sprint(r.TargetGap),
			FieldPriority: fmt.Sprint(r.Priority), FieldModels: fmt.Sprint(r.Models), FieldBackends: fmt.Sprint(r.Backends),
			FieldMaxRuns: fmt.Sprint(r.MaxRuns), FieldPublic: fmt.Sprint(r.Public), FieldRegions: fmt.Sprint(r.Regions),
		}}
	}
	return out
}

func (c *Config) serviceEntries() map[string]entry {
	out := make(map[string]entry)
	for _, s := range c.Services {
		out[s.Name] = entry{s.Index, s.Name, map[Field]string{
			FieldColdStart: fmt.Sprint(s.ColdStart), FieldColdRate: fmt.Sprint(s.ColdRate), FieldSlots: fmt.Sprint(s.Slots),
			FieldKVCapacity: fmt.Sprint(s.KVCapacity), FieldModels: fmt.Sprint(s.Prices), // maps are printed in the order of their keys
		}}
	}
	return out
}

func (c *Config) teamEntries() map[string]entry {
	out := make(map[string]entry)
	for _, t := range c.Teams {
		priority := "that of the route"
		if t.HasPriority {
			priority = fmt.Sprint(t.Priority)
		}
		out[t.Name] = entry{t.Index, t.Name, map[Field]string{FieldPriority: priority, FieldRegions: fmt.Sprint(t.Regions)}}
	}
	return out
}
