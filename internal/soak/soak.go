// Package soak provides the seeds of long randomized tests: a small fixed set in
// CI, or as many as the environment variables SOAK_SEED and SOAK_STEPS select.
package soak

import (
	"iter"
	"os"
	"strconv"
)

// Seeds yields defaultCount seeds, starting at 0. With SOAK_STEPS set, it starts at
// SOAK_SEED and yields SOAK_STEPS / stepsPerSeed seeds, rounded down, but at least
// one.
func Seeds(defaultCount, stepsPerSeed int) iter.Seq[uint64] {
	firstSeed, count := uint64(0), uint64(defaultCount)
	if steps, err := strconv.ParseUint(os.Getenv("SOAK_STEPS"), 10, 64); err == nil {
		firstSeed, _ = strconv.ParseUint(os.Getenv("SOAK_SEED"), 10, 64)
		count = max(1, steps/uint64(max(1, stepsPerSeed)))
	}
	return func(yield func(uint64) bool) {
		for seed := firstSeed; seed < firstSeed+count; seed++ {
			if !yield(seed) {
				return
			}
		}
	}
}

// UsesDefaultSeeds reports whether the fixed seeds of CI are used. With other seeds
// a test must not require that its schedules reach every state that it checks for,
// because they may not.
func UsesDefaultSeeds() bool { return os.Getenv("SOAK_STEPS") == "" }
