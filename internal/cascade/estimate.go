package cascade

import "math"

const (
	// docWeight is how many ratings the document's figure counts for.
	documentWeight = 6
	// versionWeight is how many ratings the version's mean over all teams
	// counts for beside a team's and class's own.
	versionWeight = 8
	// priorSpread is the assumed standard deviation of ratings.
	priorStdDev = 0.15
	// doubtFactor is the number of standard errors that an estimate is
	// lowered by. Without ratings the document's figure counts almost whole.
	uncertaintyFactor = 0.25
)

// estimate is the expected rating of one option.
type estimate struct {
	mean float64
	// dist is the distribution of ratings over the bins; its sum is 1.
	dist [bins]float64
	// n is the effective number of ratings of the key.
	ratings float64
	// bad is true while the version is avoided for its recent ratings.
	bad bool
}

// estimateOf blends the document's figure, the version's ratings over all
// teams and the key's own ratings, each weighed by how much is known.
func estimateOf(doc float64, version, own Counter, drop float64) estimate {
	base := (documentWeight*doc + version.Sum) / (documentWeight + version.N)
	mean := (versionWeight*base + own.Sum) / (versionWeight + own.N)
	weight := documentWeight + version.N + own.N
	mean = clamp(mean - drop - uncertaintyFactor*priorStdDev/math.Sqrt(weight))
	e := estimate{mean: mean, ratings: own.N, bad: drop > 0}
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
	// A version that turned bad: its old distribution is scaled to the new
	// mean, so that fewer answers are expected to pass.
	if drop > 0 && distMean > 0 {
		e.dist = scaleBins(e.dist, mean/distMean)
	}
	return e
}

func clamp(v float64) float64 { return min(1, max(0, v)) }

// spread is a normal distribution around a mean, cut to the bins.
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

// above returns the probability of a rating in bin b or higher, and the mean
// of such ratings.
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
