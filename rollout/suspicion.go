package rollout

import "math"

const (
	// suspectRise and suspectRatio are halfway to what is to be detected: a version that does
	// worse gets no more requests until there is more evidence.
	suspectRise  = failureRise / 2
	suspectRatio = slowRatio
	// minSuspectDurations is the number of durations from which their mean is looked at.
	minSuspectDurations = 4
)

// isSuspect reports whether the candidates did clearly worse, though perhaps by chance. It
// delays steps, but ends no rollout.
func (j judgement) isSuspect() bool {
	old, candidates, _ := j.compared(j.total())
	if candidates.Failures > 1 && rate(candidates) > rate(old)+suspectRise {
		return true
	}
	for _, route := range j.routes() {
		routeOld, routeNew, _ := j.compared(j.route(route))
		if routeNew.Failures > 1 && riseLikelihood(routeOld, routeNew, toleratedRise) >= goodLikelihood {
			return true
		}
	}
	return j.isSlowSuspect(func(c Counts) Durations { return c.FirstEvents }) ||
		j.isSlowSuspect(func(c Counts) Durations { return c.Intervals })
}

// isSlowSuspect compares over all routes, and allows for the spread of the targets' speeds.
func (j judgement) isSlowSuspect(of func(Counts) Durations) bool {
	var all slowdown
	for _, route := range j.routes() {
		all.add(j.slowdownOf(j.route(route), of))
	}
	if all.candidates < minSuspectDurations || all.weight == 0 {
		return false
	}
	spread := math.Sqrt(all.speedSpread(j.targets))
	return all.difference() > max(math.Log(suspectRatio), math.Log(toleratedRatio)+spread)
}
