package edge

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

func TestConfigLagCountsFromTheFirstNewerVersion(t *testing.T) {
	var l configLag
	now := time.Unix(1_000_000, 0)
	at := func(s int) time.Time { return now.Add(time.Duration(s) * time.Second) }
	assert.Zero(t, l.apply(now, 4))
	l.announce(at(1), 4)
	assert.Zero(t, l.behindFor(at(2)), "the version in force")
	l.announce(at(2), 6)
	l.announce(at(3), 8)
	l.announce(at(4), 6)
	assert.Equal(t, 3*time.Second, l.behindFor(at(5)))
	assert.Equal(t, 4*time.Second, l.apply(at(6), 6))
	assert.Equal(t, 5*time.Second, l.behindFor(at(7)), "version 8 is still missing")
	l.apply(at(8), 8)
	assert.Zero(t, l.behindFor(at(9)))
}
