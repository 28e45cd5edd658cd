package rollout

import "math"

const (
	// minDurations and minOldDurations are the numbers of durations from which a mean
	// logarithm is compared.
	minDurations    = 10
	minOldDurations = 20
	// badDeviation is the number of standard errors that is more than chance over the
	// repeated comparisons of many routes: a single one exceeds it in 1 of 2 million cases.
	badDeviation = 4.9
	// goodDeviation is the same for ruling out that the version takes slowRatio.
	goodDeviation = 2
	// slowRatio is the ratio of durations that is to be detected.
	slowRatio = 2
	// toleratedRatio is a ratio that isn't held against a version.
	toleratedRatio = 1.2
	// minDurationVariance is a floor, so that few durations that agree by chance don't give a
	// certainty that they haven't.
	minDurationVariance = 0.02
	// speedVariance is the variance of the logarithm of the speeds of targets of one version:
	// they range from 0.6 to 1.7.
	speedVariance = 0.09
	// speedDeviation is the number of standard errors that the speeds of the two sides may
	// differ by. The speeds are drawn once, so 1 in 1,000 needs no more.
	speedDeviation = 3.1
)

// maxSpeedDifference is the largest difference between the logarithms of two targets' speeds.
var maxSpeedDifference = math.Log(1.7 / 0.6)

func (j judgement) firstEvents() Verdict {
	return j.durations(ReasonFirstEvents, func(c Counts) Durations { return c.FirstEvents })
}

func (j judgement) intervals() Verdict {
	return j.durations(ReasonIntervals, func(c Counts) Durations { return c.Intervals })
}

// durations compares durations, for each route, and over all routes by the differences
// within each, so that routes that differ in length don't count as a difference.
func (j judgement) durations(reason Reason, of func(Counts) Durations) Verdict {
	var all slowdown
	for _, route := range j.routes() {
		p := j.route(route)
		s := j.slowdownOf(p, of)
		all.add(s)
		if s.isBad(j.targets) {
			return Verdict{Outcome: Bad, Reason: reason, Route: route, Old: p.old, New: p.candidates, Score: s.score(j.targets)}
		}
	}
	if !all.isBad(j.targets) {
		return Verdict{}
	}
	total := j.total()
	return Verdict{
		Outcome: Bad, Reason: reason, AllRoutes: true,
		Old: total.old, New: total.candidates, Score: all.score(j.targets),
	}
}

// durationsAreGood reports whether no duration leaves it possible that the version takes
// slowRatio. Where there are too few durations, failures alone decide.
func (j judgement) durationsAreGood() bool {
	for _, of := range []func(Counts) Durations{
		func(c Counts) Durations { return c.FirstEvents },
		func(c Counts) Durations { return c.Intervals },
	} {
		var all slowdown
		for _, route := range j.routes() {
			all.add(j.slowdownOf(j.route(route), of))
		}
		if all.candidates >= minDurations && !all.isGood(j.targets) {
			return false
		}
	}
	return true
}

// slowdownOf compares the durations of one route. The old mean is the larger one of those in
// the period and since the order: while traffic moves to the candidates, the old targets
// become faster because they are idle, which is no fault of the candidates.
func (j judgement) slowdownOf(p pair, of func(Counts) Durations) slowdown {
	old, reference, candidates := of(p.old), of(p.reference), of(p.candidates)
	tolerated := math.Log(toleratedRatio)
	if old.Count < minOldRuns && reference.Count > old.Count {
		// Load differs between periods, and durations with it.
		old, tolerated = reference, math.Log(slowRatio)
	} else if reference.mean() > old.mean() {
		old = reference
	}
	return newSlowdown(old, candidates, tolerated)
}

func (d Durations) mean() float64 { return d.LogSum / float64(max(d.Count, 1)) }

// variance returns the variance of the logarithms, at least minDurationVariance.
func (d Durations) variance() float64 {
	mean := d.mean()
	n := float64(max(d.Count, 2))
	return max((d.LogSquares-n*mean*mean)/(n-1), minDurationVariance)
}
