package catalog

import (
	"testing"

	"github.com/stretchr/testify/assert"
)

func TestSeenRevisions(t *testing.T) {
	var s seenRevisions
	assert.False(t, s.advance(100), "nothing is known of the time before")
	s.record(101)
	s.record(103)
	s.record(102)
	assert.False(t, s.advance(103))
	assert.Empty(t, s.seen)
	s.record(105)
	assert.True(t, s.advance(105), "104 is missing")
	assert.False(t, s.advance(105), "and was reported")
	s.record(104)
	s.record(104)
	assert.Empty(t, s.seen, "it came too late to matter")
	s.record(107)
	s.record(109)
	assert.True(t, s.advance(107), "106 is missing")
	s.record(108)
	assert.False(t, s.advance(109))
	assert.True(t, s.advance(1<<40), "a jump costs no time")
	assert.False(t, s.advance(JoinRevision(1, 5)), "another era")
	for r := range uint64(3 * maxSeenRevisions) {
		s.record(JoinRevision(1, 10) + r)
	}
	assert.LessOrEqual(t, len(s.seen), maxSeenRevisions)
}
