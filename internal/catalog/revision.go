package catalog

// counterBits is the number of low bits of a revision that hold the store's
// counter; the bits above hold the store's era.
const counterBits = 48

const (
	maxCounter = 1<<counterBits - 1
	maxEra     = 1<<(64-counterBits) - 1
)

// JoinRevision returns the revision for a value of the store's counter in an era.
//
// The store may come back from an older copy of itself. It then begins a new era,
// and its counter goes back to that of the copy, so that counters alone do not
// order changes across eras. Revisions do: any revision of a later era is greater.
// An era or a counter beyond its limit is lowered to the limit.
func JoinRevision(era, counter uint64) uint64 {
	return min(era, maxEra)<<counterBits | min(counter, maxCounter)
}

// SplitRevision returns the era and the store's counter of a revision.
func SplitRevision(revision uint64) (era, counter uint64) {
	return revision >> counterBits, revision & maxCounter
}

// EraOf returns the store's era of a revision.
func EraOf(revision uint64) uint64 { return revision >> counterBits }
