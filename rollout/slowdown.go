package rollout

import "math"

// slowdown is a weighted mean of differences of mean logarithms of durations, of the
// candidates less the old targets.
type slowdown struct {
	old        int
	candidates int
	// weight is the sum of the weights: the inverse of the variance that the mean has for
	// durations of variance 1. The other fields are sums of products with it.
	weight    float64
	excess    float64 // difference less what is tolerated
	tolerated float64
	variance  float64
}

func newSlowdown(old, candidates Durations, tolerated float64) slowdown {
	if old.Count < 2 || candidates.Count < 1 {
		return slowdown{}
	}
	o, n := float64(old.Count), float64(candidates.Count)
	variance := old.variance()
	if candidates.Count >= minDurations {
		variance = ((o-1)*old.variance() + (n-1)*candidates.variance()) / (o + n - 2)
	}
	weight := o * n / (o + n)
	return slowdown{
		old: old.Count, candidates: candidates.Count, weight: weight,
		excess:    weight * (candidates.mean() - old.mean() - tolerated),
		tolerated: weight * tolerated,
		variance:  weight * variance,
	}
}

func (s *slowdown) add(other slowdown) {
	s.old += other.old
	s.candidates += other.candidates
	s.weight += other.weight
	s.excess += other.excess
	s.tolerated += other.tolerated
	s.variance += other.variance
}

func (s slowdown) isBad(targets targetNumbers) bool {
	return s.candidates >= minDurations && s.old >= minOldDurations && s.score(targets) >= badDeviation
}

func (s slowdown) isGood(targets targetNumbers) bool {
	return s.difference()+goodDeviation*math.Sqrt(s.sampleVariance()) <= math.Log(slowRatio)+math.Sqrt(s.speedSpread(targets))
}

func (s slowdown) difference() float64 { return (s.excess + s.tolerated) / s.weight }

func (s slowdown) sampleVariance() float64 { return s.variance / s.weight / s.weight }

// score returns the excess in standard errors, with the spread of speeds included so that
// badDeviation is reached when the excess is more than both can explain.
func (s slowdown) score(targets targetNumbers) float64 {
	if s.weight == 0 {
		return 0
	}
	return s.excess / s.weight / math.Sqrt(s.sampleVariance()+s.speedSpread(targets)/(badDeviation*badDeviation))
}

// speedSpread returns the square of the difference between the sides that the speeds of
// their targets explain. The spread is no larger than that of the measured durations.
func (s slowdown) speedSpread(targets targetNumbers) float64 {
	if targets.old == 0 || targets.candidates == 0 {
		return 0
	}
	spread := min(speedVariance, s.variance/s.weight)
	mean := spread * (1/float64(targets.old) + 1/float64(targets.candidates))
	return min(speedDeviation*speedDeviation*mean, maxSpeedDifference*maxSpeedDifference)
}
