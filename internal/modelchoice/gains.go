package modelchoice

const (
	// lowConfidence is the confidence below which a model's opinion no longer tells
	// how hard a request is: opinions end at 0.
	lowConfidence = 10
	maxConfidence = 100
	// priorGainOfLargest and priorGain are the gains that are assumed of a route's
	// largest model and of the others before the first observation.
	priorGainOfLargest = 70.0
	priorGain          = 20.0
	// priorLowLoss is how much less is assumed below lowConfidence.
	priorLowLoss = 8.0
	// gainWeight is the weight of the newest observation.
	gainWeight = 0.05
)

// Gains learns how much more confident larger models are than smaller ones about the
// same request. It is not safe for concurrent use.
type Gains struct {
	// learned holds the gains by pair of models, at all but low confidences and at
	// low ones.
	learned map[modelPair]*[2]float64
}

type modelPair struct{ smaller, larger string }

// NewGains returns gains without observations.
func NewGains() *Gains { return &Gains{learned: make(map[modelPair]*[2]float64)} }

func (g *Gains) of(smaller, larger string, isLargest bool) *[2]float64 {
	pair := modelPair{smaller, larger}
	if known := g.learned[pair]; known != nil {
		return known
	}
	prior := priorGain
	if isLargest {
		prior = priorGainOfLargest
	}
	known := &[2]float64{prior, prior - priorLowLoss}
	g.learned[pair] = known
	return known
}

func bandOf(confidence int) int {
	if confidence < lowConfidence {
		return 1
	}
	return 0
}

// Expect returns the expected confidence of a larger model, given that of a smaller
// one. isLargest is true for the largest model of the route.
func (g *Gains) Expect(smaller, larger string, isLargest bool, confidence int) int {
	gain := g.of(smaller, larger, isLargest)[bandOf(confidence)]
	return min(max(confidence+int(gain), 0), maxConfidence)
}

// Observe records the confidences of two models about the same request. A confidence
// at its maximum says only that the gain is at least the difference.
func (g *Gains) Observe(smaller, larger string, isLargest bool, before, after int) {
	if before < 0 || after < 0 {
		return
	}
	gain := &g.of(smaller, larger, isLargest)[bandOf(before)]
	observed := float64(after - before)
	if after >= maxConfidence && observed < *gain {
		return
	}
	*gain += gainWeight * (observed - *gain)
}
