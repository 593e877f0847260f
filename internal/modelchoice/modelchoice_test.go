package modelchoice

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"pgregory.net/rapid"
)

const aim = 2 * time.Second

func offer(expect time.Duration) LargerModel {
	return LargerModel{Price: 0.12, FirstToken: expect, PrefillBacklog: expect / 4, TimeLeft: aim - 200*time.Millisecond, TargetLatency: aim}
}

func TestEscalate(t *testing.T) {
	for _, tt := range []struct {
		name       string
		confidence int
		expect     time.Duration
		want       bool
	}{
		{"a poor answer and an idle fleet", 5, 200 * time.Millisecond, true},
		{"a sure answer and an idle fleet", 95, 50 * time.Millisecond, false},
		{"a doubtful answer and an idle fleet", 45, 100 * time.Millisecond, true},
		{"a doubtful answer under load", 50, 1200 * time.Millisecond, false},
		{"a poor answer that can't come in time", 40, 5 * time.Second, false},
		{"no opinion", -1, 200 * time.Millisecond, false},
	} {
		t.Run(tt.name, func(t *testing.T) {
			got := Escalate(Answer{Confidence: tt.confidence, TimeLeft: aim - 200*time.Millisecond}, offer(tt.expect))
			assert.Equal(t, tt.want, got)
		})
	}
}

// A burst makes the larger model slower; the same rule then asks it less often.
func TestEscalationFallsWithLatency(t *testing.T) {
	last := 101
	for _, wait := range []time.Duration{0, 200, 400, 800, 1200, 1600} {
		least := 0 // the lowest confidence that is kept
		for least <= 100 && Escalate(Answer{Confidence: least, TimeLeft: aim}, offer(100*time.Millisecond+wait*time.Millisecond)) {
			least++
		}
		assert.LessOrEqual(t, least, last, "waiting %d ms more", wait)
		last = least
	}
	assert.Less(t, last, 30)
}

func TestValuesAreMonotonic(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c := rapid.IntRange(0, 99).Draw(t, "confidence")
		e := time.Duration(rapid.IntRange(0, 5000).Draw(t, "expect")) * time.Millisecond
		if (Answer{Confidence: c, TimeLeft: aim}).Value() > (Answer{Confidence: c + 1, TimeLeft: aim}).Value() {
			t.Fatal("a surer answer is worth less")
		}
		if offer(e).Value() < offer(e+10*time.Millisecond).Value() {
			t.Fatal("a later answer is worth more")
		}
	})
}
