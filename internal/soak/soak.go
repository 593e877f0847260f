// Package soak gives the seeds of long random tests: a fixed few in CI, and as
// many as wanted by SOAK_SEED and SOAK_STEPS.
package soak

import (
	"iter"
	"os"
	"strconv"
)

// Seeds yields the usual number of seeds from 0 on. With SOAK_STEPS set it
// yields, from SOAK_SEED on, as many seeds as make up that number of steps at
// the given steps a seed, at least one.
func Seeds(usual, stepsPerSeed int) iter.Seq[uint64] {
	first, count := uint64(0), uint64(usual)
	if steps, err := strconv.ParseUint(os.Getenv("SOAK_STEPS"), 10, 64); err == nil {
		first, _ = strconv.ParseUint(os.Getenv("SOAK_SEED"), 10, 64)
		count = max(1, steps/uint64(max(1, stepsPerSeed)))
	}
	return func(yield func(uint64) bool) {
		for seed := first; seed < first+count; seed++ {
			if !yield(seed) {
				return
			}
		}
	}
}

// Usual reports whether the fixed seeds of CI run. Only they promise that a
// test's schedules reach all that it wants to see.
func UsesDefaultSeeds() bool { return os.Getenv("SOAK_STEPS") == "" }
