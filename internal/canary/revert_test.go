package canary

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

// Guards against a VM that uses a bad version on, because the VM that wrote the verdict
// stops reporting it and the store does not deliver it.
func TestRevertedVersionIsReportedAfterTheVerdict(t *testing.T) {
	writer, other := newWithRollOut("vm-1"), newWithRollOut("vm-2")
	for range 30 {
		recordOutcome(writer, oldVersion, "r", false)
		recordOutcome(writer, newVersion, "r", true)
	}
	assert.NotEmpty(t, writer.Tick(at(20*time.Second)))
	writer.SetRollOut(at(20*time.Second), RollOut{Service: service, NewVersion: newVersion, Duration: duration, Phase: Reverted})
	assert.Equal(t, newVersion, chosenVersion(other, at(23500*time.Millisecond), "any", "x"))
	for _, r := range writer.Reports(at(23 * time.Second)) {
		other.Merge(at(23*time.Second), r)
	}
	assert.Equal(t, oldVersion, chosenVersion(other, at(23500*time.Millisecond), "any", "x"))
	assert.Empty(t, writer.Reports(at(31*time.Second)))
}
