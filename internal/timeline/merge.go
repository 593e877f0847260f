package timeline

import (
	"cmp"
	"slices"
)

// Gap is a range of events that a process dropped before they were read.
type Gap struct {
	VM          string `json:"vm"`
	Role        string `json:"role"`
	Incarnation uint64 `json:"incarnation"`
	// From and To are the first and the last missing sequence.
	From uint64 `json:"from"`
	To   uint64 `json:"to"`
}

// Merge merges lists of events in stamp order and removes duplicates. Events
// with equal stamps are ordered by VM, role, incarnation and sequence, so that
// the order does not depend on the order of the lists.
func Merge(lists ...[]Event) []Event {
	out := slices.Concat(lists...)
	slices.SortFunc(out, Compare)
	return slices.CompactFunc(out, sameEvent)
}

// Compare compares two events in the order of Merge.
func Compare(a, b Event) int {
	return cmp.Or(
		cmp.Compare(a.Stamp.WallMS, b.Stamp.WallMS),
		cmp.Compare(a.Stamp.Count, b.Stamp.Count),
		compareOrigins(a, b),
		cmp.Compare(a.Sequence, b.Sequence),
	)
}

func compareOrigins(a, b Event) int {
	return cmp.Or(
		cmp.Compare(a.VM, b.VM),
		cmp.Compare(a.Role, b.Role),
		cmp.Compare(a.Incarnation, b.Incarnation),
	)
}

func sameEvent(a, b Event) bool {
	return a.Sequence == b.Sequence && compareOrigins(a, b) == 0
}

// Gaps returns the missing sequences between the events of each incarnation of
// a process. The list must not be filtered by request.
func Gaps(events []Event) []Gap {
	byOrigin := slices.Clone(events)
	slices.SortFunc(byOrigin, func(a, b Event) int {
		return cmp.Or(compareOrigins(a, b), cmp.Compare(a.Sequence, b.Sequence))
	})
	var out []Gap
	for i := 1; i < len(byOrigin); i++ {
		a, b := byOrigin[i-1], byOrigin[i]
		if compareOrigins(a, b) != 0 || b.Sequence <= a.Sequence+1 {
			continue
		}
		out = append(out, Gap{VM: b.VM, Role: b.Role, Incarnation: b.Incarnation, From: a.Sequence + 1, To: b.Sequence - 1})
	}
	return out
}
