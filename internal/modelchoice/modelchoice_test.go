package modelchoice

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"pgregory.net/rapid"
)

const targetLatency = 2 * time.Second

func largerModel(firstToken time.Duration) LargerModel {
	return LargerModel{Price: 0.12, FirstToken: firstToken, PrefillBacklog: firstToken / 4, TimeLeft: targetLatency - 200*time.Millisecond, TargetLatency: targetLatency}
}

func TestEscalate(t *testing.T) {
	for _, tt := range []struct {
		name       string
		confidence int
		firstToken time.Duration
		want       bool
	}{
		{"a poor answer and an idle fleet", 5, 200 * time.Millisecond, true},
		{"a confident answer and an idle fleet", 95, 50 * time.Millisecond, false},
		{"a doubtful answer and an idle fleet", 45, 100 * time.Millisecond, true},
		{"a doubtful answer under load", 50, 1200 * time.Millisecond, false},
		{"a poor answer, but the larger model would be too late", 40, 5 * time.Second, false},
		{"no confidence", -1, 200 * time.Millisecond, false},
	} {
		t.Run(tt.name, func(t *testing.T) {
			got := Escalate(Answer{Confidence: tt.confidence, TimeLeft: targetLatency - 200*time.Millisecond}, largerModel(tt.firstToken))
			assert.Equal(t, tt.want, got)
		})
	}
}

// A burst makes the larger model slower; requests must then escalate to it less
// often.
func TestEscalationFallsWithLatency(t *testing.T) {
	previous := 101
	for _, delay := range []time.Duration{0, 200, 400, 800, 1200, 1600} {
		threshold := 0 // the lowest confidence that is kept
		for threshold <= 100 && Escalate(Answer{Confidence: threshold, TimeLeft: targetLatency}, largerModel(100*time.Millisecond+delay*time.Millisecond)) {
			threshold++
		}
		assert.LessOrEqual(t, threshold, previous, "with %d ms more delay", delay)
		previous = threshold
	}
	assert.Less(t, previous, 30)
}

func TestValuesAreMonotonic(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		confidence := rapid.IntRange(0, 99).Draw(t, "confidence")
		firstToken := time.Duration(rapid.IntRange(0, 5000).Draw(t, "firstToken")) * time.Millisecond
		if (Answer{Confidence: confidence, TimeLeft: targetLatency}).Value() > (Answer{Confidence: confidence + 1, TimeLeft: targetLatency}).Value() {
			t.Fatal("an answer with higher confidence has a lower value")
		}
		if largerModel(firstToken).Value() < largerModel(firstToken+10*time.Millisecond).Value() {
			t.Fatal("a later answer has a higher value")
		}
	})
}
