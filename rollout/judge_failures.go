package rollout

import "math"

const (
	// minOldRuns is the number of runs on old targets from which they are compared with in
	// the same period.
	minOldRuns = 20
	// badLikelihood is the logarithm of the likelihood ratio from which failures are more
	// than chance. A single comparison exceeds it in 2 of a million cases; the rest of the
	// 1 in 1,000 is for the repeated comparisons of many routes.
	badLikelihood = 10.5
	// goodLikelihood is the same for rejecting that the version is bad by failureRise.
	goodLikelihood = 3
	// failureRise is the rise of the failure rate that is to be detected.
	failureRise = 0.2
	// toleratedRise is a rise that isn't held against a version, in the same period and, as
	// conditions change, against another one.
	toleratedRise            = 0.02
	toleratedRiseOtherPeriod = 0.1
	// minFailures keeps the end of one target's process, whose running requests fail
	// together, from deciding by itself.
	minFailures = 5
)

// failures compares the failure rates.
func (j judgement) failures() Verdict {
	if v := j.failuresOf(j.total()); v.Outcome == Bad {
		v.AllRoutes = true
		return v
	}
	for _, route := range j.routes() {
		if v := j.failuresOf(j.route(route)); v.Outcome == Bad {
			v.Route = route
			return v
		}
	}
	return Verdict{}
}

func (j judgement) failuresOf(p pair) Verdict {
	old, candidates, otherPeriod := j.compared(p)
	v := Verdict{
		Reason: ReasonFailures, Old: old, New: candidates,
		Score: riseLikelihood(old, candidates, tolerated(otherPeriod)),
	}
	if candidates.Failures >= minFailures && v.Score >= badLikelihood {
		v.Outcome = Bad
	}
	return v
}

func tolerated(otherPeriod bool) float64 {
	if otherPeriod {
		return toleratedRiseOtherPeriod
	}
	return toleratedRise
}

// isGood reports whether the failures and durations over all routes rule out a bad version,
// and no route with as much evidence contradicts.
func (j judgement) isGood() bool {
	old, candidates, _ := j.compared(j.total())
	if fallLikelihood(old, candidates, failureRise) < goodLikelihood || !j.durationsAreGood() {
		return false
	}
	for _, route := range j.routes() {
		if j.isFailingSuspect(j.route(route)) {
			return false
		}
	}
	return true
}

// riseLikelihood returns the logarithm of the ratio of the likelihood that the failure rate
// rose by more than the tolerated rise to the likelihood that it did not.
func riseLikelihood(old, candidates Counts, tolerated float64) float64 {
	if rate(candidates) <= rate(old)+tolerated || candidates.ended() == 0 || old.ended() == 0 {
		return 0
	}
	return maxLikelihood(old) + maxLikelihood(candidates) - likelihoodAtRise(old, candidates, tolerated)
}

// fallLikelihood returns the logarithm of the ratio of the likelihood that the failure rate
// rose by less than rise to the likelihood that it rose by that.
func fallLikelihood(old, candidates Counts, rise float64) float64 {
	if candidates.ended() == 0 || old.ended() == 0 || rate(candidates) >= rate(old)+rise {
		return 0
	}
	return maxLikelihood(old) + maxLikelihood(candidates) - likelihoodAtRise(old, candidates, rise)
}

// likelihoodAtRise returns the largest log-likelihood of the counts if the failure rate of the
// candidates is above the old one by rise.
func likelihoodAtRise(old, candidates Counts, rise float64) float64 {
	at := func(p float64) float64 { return logLikelihood(old, p) + logLikelihood(candidates, p+rise) }
	// The function is concave, so ternary search finds its maximum.
	low, high := 0.0, 1-rise
	for range 40 {
		third := (high - low) / 3
		if at(low+third) < at(high-third) {
			low += third
		} else {
			high -= third
		}
	}
	return at((low + high) / 2)
}

func maxLikelihood(c Counts) float64 { return logLikelihood(c, rate(c)) }

// logLikelihood returns the log-likelihood of the counts at the failure rate p.
func logLikelihood(c Counts, p float64) float64 {
	const smallest = 1e-9 // keeps rates of 0 and 1 from excluding any count
	p = min(max(p, smallest), 1-smallest)
	return float64(c.Failures)*math.Log(p) + float64(c.Successes)*math.Log1p(-p)
}

func rate(c Counts) float64 { return float64(c.Failures) / float64(max(c.ended(), 1)) }
