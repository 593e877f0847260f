package cascade

import "math"

const (
	// documentWeight is the weight of the document's quality figure, in ratings.
	documentWeight = 6
	// versionWeight is the weight, in ratings, of the version's mean over all teams
	// relative to the ratings of one team and class.
	versionWeight = 8
	// priorStdDev is the assumed standard deviation of ratings.
	priorStdDev = 0.15
	// uncertaintyFactor is the number of standard errors by which an estimate is
	// lowered. Without ratings the estimate is close to the document's figure.
	uncertaintyFactor = 0.25
)

// estimate is the expected rating of one option.
type estimate struct {
	mean float64
	// dist is the distribution of ratings over the bins; its sum is 1.
	dist [bins]float64
	// ratings is the effective number of ratings of the key.
	ratings float64
	// bad is true while the version is avoided because its ratings fell.
	bad bool
}

// estimateOf combines the document's quality figure, the version's ratings over
// all teams and the key's own ratings, weighted by their numbers of ratings.
func estimateOf(doc float64, version, own Counter, drop float64) estimate {
	base := (documentWeight*doc + version.LongTermSum) / (documentWeight + version.LongTermN)
	mean := (versionWeight*base + own.LongTermSum) / (versionWeight + own.LongTermN)
	weight := documentWeight + version.LongTermN + own.LongTermN
	mean = clamp(mean - drop - uncertaintyFactor*priorStdDev/math.Sqrt(weight))
	e := estimate{mean: mean, ratings: own.LongTermN, bad: drop > 0}
	prior := normalBins(clamp(base))
	total := 0.0
	for i := range e.dist {
		e.dist[i] = versionWeight*prior[i] + float64(own.Bins[i])
		total += e.dist[i]
	}
	distMean := 0.0
	for i := range e.dist {
		e.dist[i] /= total
		distMean += e.dist[i] * binMid(i)
	}
	// If the version turned bad, its old distribution is scaled to the new mean, so
	// that fewer answers are expected to reach the threshold.
	if drop > 0 && distMean > 0 {
		e.dist = scaleBins(e.dist, mean/distMean)
	}
	return e
}

func clamp(v float64) float64 { return min(1, max(0, v)) }

// normalBins returns a normal distribution around a mean, truncated to the bins.
func normalBins(mean float64) (d [bins]float64) {
	sum := 0.0
	for i := range d {
		z := (binMid(i) - mean) / priorStdDev
		d[i] = math.Exp(-z * z / 2)
		sum += d[i]
	}
	for i := range d {
		d[i] /= sum
	}
	return d
}

func scaleBins(d [bins]float64, factor float64) (out [bins]float64) {
	for i := range d {
		out[binOf(clamp(binMid(i)*factor))] += d[i]
	}
	return out
}

// atLeast returns the probability of a rating in bin b or higher, and the mean of
// such ratings.
func (e *estimate) atLeast(b int) (p, mean float64) {
	sum := 0.0
	for i := b; i < bins; i++ {
		p += e.dist[i]
		sum += e.dist[i] * binMid(i)
	}
	if p == 0 {
		return 0, 0
	}
	return p, sum / p
}
