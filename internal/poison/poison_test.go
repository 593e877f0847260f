package poison

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

var begin = time.Now()

func gone(string, int64) bool   { return false }
func listed(string, int64) bool { return true }

func mark(f Fingerprint, i int) Disconnect {
	return Disconnect{Fingerprint: f, Upstream: fmt.Sprintf("u%d", i), Born: 1}
}

func TestCondemned(t *testing.T) {
	c := New()
	f, other := FingerprintOf("/a", "team", []byte("x")), FingerprintOf("/a", "team", []byte("y"))
	assert.NotEqual(t, f, other)
	for i := range condemnAt {
		assert.False(t, c.Blocked(begin, f, gone))
		c.Add(begin, mark(f, i))
		c.Add(begin, mark(f, i)) // told once more
	}
	assert.True(t, c.Blocked(begin, f, gone))
	assert.False(t, c.Blocked(begin, other, gone))
	assert.False(t, c.Blocked(begin, f, listed), "upstreams that live did not crash")
	assert.False(t, c.Blocked(begin.Add(markLife+time.Second), f, gone))
}

func TestMarksArePassedOn(t *testing.T) {
	a, b := New(), New()
	f := FingerprintOf("/a", "team", nil)
	for i := range condemnAt {
		a.Add(begin.Add(-time.Duration(i)*time.Second), mark(f, i))
	}
	for _, m := range a.Recent(begin) {
		b.Add(begin, m)
	}
	assert.True(t, b.Blocked(begin, f, gone))
	for _, m := range b.Recent(begin.Add(50 * time.Second)) {
		a.Add(begin.Add(50*time.Second), m)
	}
	assert.False(t, a.Blocked(begin.Add(markLife+3*time.Second), f, gone), "passing on does not make marks younger")
}

func TestMarksAreBounded(t *testing.T) {
	c := New()
	for i := range 3 * marksMost {
		c.Add(begin, mark(Fingerprint(i), i))
	}
	assert.LessOrEqual(t, len(c.marks), marksMost)
	assert.LessOrEqual(t, len(c.Recent(begin)), tellMost)
}
