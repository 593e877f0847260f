package canary

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

// used reports whether any of many requests may use a version.
func used(c *Core, now time.Time, version string, versions []string) bool {
	for i := range 300 {
		rule := c.Choose(now, "s", "", fmt.Sprint("request-", i), versions)
		if rule.Preferred(version) || rule.Fallback != nil && rule.Fallback(version) {
			return true
		}
	}
	return false
}

// Guards against requests to a version that was not adopted and whose upstreams are still
// there when the next roll-out begins: it is not one of the old versions.
func TestAbandonedVersionIsNotOldInTheNextRollOut(t *testing.T) {
	now := time.Now()
	versions := []string{"v1", "v2", "v3"}
	for _, seen := range []Phase{Reverted, InProgress} { // the verdict may be written later, or never
		c := New("vm/1", Exposure{Share: 0.15, Tolerance: 30}, time.Second)
		c.SetRollOut(now, RollOut{Service: "s", NewVersion: "v2", Duration: 10 * time.Second, Phase: seen})
		c.SetRollOut(now.Add(6*time.Second), RollOut{Service: "s", NewVersion: "v3", Duration: 10 * time.Second})
		for after := time.Duration(0); after < 14*time.Second; after += time.Second {
			at := now.Add(6*time.Second + after)
			assert.False(t, used(c, at, "v2", versions), "%v after the order", after)
			assert.True(t, used(c, at, "v1", versions))
		}
		assert.True(t, used(c, now.Add(7*time.Second), "v2", []string{"v2", "v3"}), "nothing else is left")
		c.SetRollOut(now.Add(20*time.Second), RollOut{Service: "s", NewVersion: "v2", Duration: time.Second, Phase: Completed})
		assert.True(t, used(c, now.Add(21*time.Second), "v2", versions), "operators tried it again")
	}
}

// Guards against a version that was not adopted and becomes one of the usual ones, because
// the VM knew no other when operators deleted the roll-out.
func TestAbandonedVersionIsNotUsualAfterTheRollOut(t *testing.T) {
	now := time.Now()
	c := New("vm/1", Exposure{Share: 0.15, Tolerance: 30}, time.Second)
	c.SetRollOut(now, RollOut{Service: "s", NewVersion: "v2", Duration: 10 * time.Second, Phase: Reverted})
	c.RemoveRollOut("s")
	assert.False(t, used(c, now.Add(time.Second), "v2", []string{"v1", "v2"}))
	assert.True(t, used(c, now.Add(time.Second), "v1", []string{"v1", "v2"}))
	assert.True(t, used(c, now.Add(2*time.Second), "v2", []string{"v2"}), "nothing else is left")
}
