package rollout

import "math"

const (
	// suspectRise and suspectRatio are halfway to what is to be detected: a version that does
	// worse gets no more requests until there is more evidence.
	suspectRise  = failureRise / 2
	suspectRatio = slowRatio
	// suspectLikelihood is the logarithm of the likelihood ratio from which the failures of a
	// route make a version suspect, and minSuspectFailures their number. Over all routes,
	// less suffices: there is one comparison instead of many.
	suspectLikelihood  = 4
	minSuspectFailures = 3
	// doubtfulLikelihood and doubtfulDeviation are exceeded by about one good version in ten.
	doubtfulLikelihood = 0.8
	doubtfulDeviation  = 1.3
	// doubtfulRouteLikelihood is the same for a route of several, from minDoubtfulFailures on.
	doubtfulRouteLikelihood = 2
	minDoubtfulFailures     = 2
	// suspectDeviation is the number of standard errors that a mean may be off by chance.
	suspectDeviation = 2.5
	// minSuspectDurations is the number of durations from which their mean is looked at.
	minSuspectDurations = 4
)

// isSuspect reports whether the candidates did clearly worse, though perhaps by chance. It
// delays steps, but ends no rollout.
func (j judgement) isSuspect() bool {
	old, candidates, _ := j.compared(j.total())
	if candidates.Failures > 1 && riseLikelihood(old, candidates, toleratedRise) >= goodLikelihood {
		return true
	}
	for _, route := range j.routes() {
		if j.isFailingSuspect(j.route(route)) {
			return true
		}
	}
	return j.isSlow(suspectDeviation)
}

// isDoubtful reports whether the candidates did worse, though quite possibly by chance. It delays
// the full share while there is time: a version that is bad under load shows its first failures
// just when the share is to grow, and most requests would reach it before the next ones arrive.
func (j judgement) isDoubtful() bool {
	old, candidates, _ := j.compared(j.total())
	isFailing := candidates.Failures > 1 && riseLikelihood(old, candidates, toleratedRise) >= doubtfulLikelihood
	return isFailing || j.isSlow(doubtfulDeviation)
}

// hasDoubtfulRoute reports whether the candidates did worse on a route, though quite possibly by
// chance. A version that is bad on one route shows few failures among those of all routes.
func (j judgement) hasDoubtfulRoute() bool {
	for _, route := range j.routes() {
		old, candidates, _ := j.compared(j.route(route))
		if candidates.Failures >= minDoubtfulFailures && riseLikelihood(old, candidates, toleratedRise) >= doubtfulRouteLikelihood {
			return true
		}
	}
	return false
}

// isFailingSuspect is about one route.
func (j judgement) isFailingSuspect(p pair) bool {
	old, candidates, otherPeriod := j.compared(p)
	return candidates.Failures >= minSuspectFailures &&
		riseLikelihood(old, candidates, tolerated(otherPeriod)) >= suspectLikelihood
}

// isLikelyGood reports whether the figures are nearer to those of a good version, however few
// they are.
func (j judgement) isLikelyGood() bool {
	old, candidates, _ := j.compared(j.total())
	isFailing := candidates.Failures > 1 && rate(candidates) > rate(old)+suspectRise
	return !isFailing && !j.isSuspect() && !j.isSlow(0)
}

// isSlow reports whether durations are longer by more than the spread of the targets' speeds
// and a number of standard errors explain.
func (j judgement) isSlow(deviation float64) bool {
	return j.isSlower(deviation, func(c Counts) Durations { return c.FirstEvents }) ||
		j.isSlower(deviation, func(c Counts) Durations { return c.Intervals })
}

func (j judgement) isSlower(deviation float64, of func(Counts) Durations) bool {
	var all slowdown
	for _, route := range j.routes() {
		all.add(j.slowdownOf(j.route(route), of))
	}
	if all.candidates < minSuspectDurations || all.weight == 0 {
		return false
	}
	spread := math.Sqrt(all.speedSpread(j.targets) + deviation*deviation*all.sampleVariance())
	return all.difference() > max(math.Log(suspectRatio), math.Log(toleratedRatio)+spread)
}
