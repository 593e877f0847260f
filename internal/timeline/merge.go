package timeline

import (
	"cmp"
	"slices"
)

// Gap tells that a ring had dropped events before they were read.
type Gap struct {
	VM          string `json:"vm"`
	Role        string `json:"role"`
	Incarnation uint64 `json:"incarnation"`
	// From and To are the first and last missing sequence.
	From uint64 `json:"from"`
	To   uint64 `json:"to"`
}

// Merge joins lists of events in stamp order without repeats. Events of equal
// stamps are ordered by VM, role, incarnation and sequence, so that each
// merge of the same events gives the same order.
func Merge(lists ...[]Event) []Event {
	out := slices.Concat(lists...)
	slices.SortFunc(out, Compare)
	return slices.CompactFunc(out, sameEvent)
}

// Compare is the order of Merge.
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

// Gaps finds the missing sequences of each process in an unfiltered list:
// those between two events of one incarnation.
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
