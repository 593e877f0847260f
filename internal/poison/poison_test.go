package poison

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

var begin = time.Now()

func notListed(string, int64) bool { return false }
func listed(string, int64) bool    { return true }

func newDisconnect(f Fingerprint, i int) Disconnect {
	return Disconnect{Fingerprint: f, Upstream: fmt.Sprintf("u%d", i), Incarnation: 1}
}

func TestBlocked(t *testing.T) {
	c := New()
	f, other := FingerprintOf("/a", "team", []byte("x")), FingerprintOf("/a", "team", []byte("y"))
	assert.NotEqual(t, f, other)
	for i := range crashThreshold {
		assert.False(t, c.Blocked(begin, f, notListed))
		c.Add(begin, newDisconnect(f, i))
		c.Add(begin, newDisconnect(f, i)) // a duplicate
	}
	assert.True(t, c.Blocked(begin, f, notListed))
	assert.False(t, c.Blocked(begin, other, notListed))
	assert.False(t, c.Blocked(begin, f, listed), "a listed upstream has not crashed")
	assert.False(t, c.Blocked(begin.Add(disconnectTTL+time.Second), f, notListed))
}

func TestDisconnectsAreRelayed(t *testing.T) {
	a, b := New(), New()
	f := FingerprintOf("/a", "team", nil)
	for i := range crashThreshold {
		a.Add(begin.Add(-time.Duration(i)*time.Second), newDisconnect(f, i))
	}
	for _, d := range a.Recent(begin) {
		b.Add(begin, d)
	}
	assert.True(t, b.Blocked(begin, f, notListed))
	for _, d := range b.Recent(begin.Add(50 * time.Second)) {
		a.Add(begin.Add(50*time.Second), d)
	}
	assert.False(t, a.Blocked(begin.Add(disconnectTTL+3*time.Second), f, notListed), "relaying does not extend the TTL")
}

func TestDisconnectsAreBounded(t *testing.T) {
	c := New()
	for i := range 3 * maxDisconnects {
		c.Add(begin, newDisconnect(Fingerprint(i), i))
	}
	assert.LessOrEqual(t, len(c.disconnects), maxDisconnects)
	assert.LessOrEqual(t, len(c.Recent(begin)), maxRecent)
}
