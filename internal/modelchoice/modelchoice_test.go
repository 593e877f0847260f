package modelchoice

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"pgregory.net/rapid"
)

const targetLatency = 2 * time.Second

func largerModel(firstToken time.Duration) LargerModel {
	return LargerModel{ExpectedConfidence: 95, Price: 0.12, FirstToken: firstToken, PrefillBacklog: firstToken / 4, TimeLeft: targetLatency - 200*time.Millisecond, TargetLatency: targetLatency}
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
			_, got := Escalate(Answer{Confidence: tt.confidence, TimeLeft: targetLatency - 200*time.Millisecond}, []LargerModel{largerModel(tt.firstToken)})
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
		larger := []LargerModel{largerModel(100*time.Millisecond + delay*time.Millisecond)}
		for threshold <= 100 {
			if _, ok := Escalate(Answer{Confidence: threshold, TimeLeft: targetLatency}, larger); !ok {
				break
			}
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

// A model of middle size is worth asking when it is expected to suffice, and the
// largest when it is not.
func TestEscalateToTheModelThatSuffices(t *testing.T) {
	gains := NewGains()
	for _, tt := range []struct {
		confidence int
		want       string
	}{{5, "large"}, {25, "large"}, {48, "middle"}, {95, ""}} {
		var options []LargerModel
		names := []string{"middle", "large"}
		for i, name := range names {
			options = append(options, LargerModel{
				ExpectedConfidence: gains.Expect("small", name, name == "large", tt.confidence),
				Price:              []float64{0.13, 0.26}[i], FirstToken: 200 * time.Millisecond, TimeLeft: targetLatency, TargetLatency: targetLatency,
			})
		}
		got := ""
		if best, ok := Escalate(Answer{Confidence: tt.confidence, TimeLeft: targetLatency}, options); ok {
			got = names[best]
		}
		assert.Equal(t, tt.want, got, "confidence %d", tt.confidence)
	}
}

// The gain of a model is learned, whatever was assumed of it.
func TestGainsAreLearned(t *testing.T) {
	g := NewGains()
	for range 100 {
		g.Observe("small", "middle", false, 30, 85)
		g.Observe("small", "large", true, 30, 100)
		g.Observe("small", "large", true, 4, 20)
		g.Observe("small", "large", true, -1, 20)
	}
	assert.InDelta(t, 85, g.Expect("small", "middle", false, 30), 2)
	assert.Equal(t, 100, g.Expect("small", "large", true, 30), "a confidence at its maximum does not lower the gain")
	assert.InDelta(t, 20, g.Expect("small", "large", true, 4), 2)
	assert.Equal(t, 100, g.Expect("small", "large", true, 90))
}
