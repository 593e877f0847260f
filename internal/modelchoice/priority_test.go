package modelchoice

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

// Guards against the largest model being asked for requests of low priority whose answers
// are worth less than it costs, while it delays urgent ones.
func TestLargeModelsGoToUrgentRequests(t *testing.T) {
	doubtful := Answer{Confidence: 40, TimeLeft: 2 * time.Second}
	ask := func(priority int) bool {
		_, ok := Escalate(doubtful, []LargerModel{{
			ExpectedConfidence: 98, Price: 0.14 * PriceFactor(priority), FirstToken: 200 * time.Millisecond, TimeLeft: 2 * time.Second, TargetLatency: 2500 * time.Millisecond,
		}})
		return ok
	}
	assert.True(t, ask(0))
	assert.True(t, ask(1))
	assert.False(t, ask(2))
}

func TestPriceFactor(t *testing.T) {
	assert.InDelta(t, 1, PriceFactor(0), 0)
	for priority := range 12 {
		assert.LessOrEqual(t, PriceFactor(priority), PriceFactor(priority+1))
	}
	assert.InDelta(t, PriceFactor(0), PriceFactor(-3), 0, "priorities out of range are clamped")
}
