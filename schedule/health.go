package schedule

import "time"

const (
	// baseEjection and longestRest bound how long a target gets no requests after
	// it failed; each failed probe doubles the rest.
	baseEjection = 400 * time.Millisecond
	maxEjection  = 3 * time.Second
	// unreachableEjection is the first rest after a connection could not be opened.
	unreachableEjection = 200 * time.Millisecond
	// maxConsecutiveBroken is the number of broken answers, without a good one between
	// them, after which a target rests.
	maxConsecutiveBroken = 2
	// outlierMinFailures is the least number of bad results that make an outlier.
	outlierMinFailures = 2.5
	// outlierMinRatio is the least share of bad results that makes an outlier, and
	// outlierExcess how much larger than in the rest of the pool it must be.
	outlierMinRatio  = 0.3
	outlierMinExcess = 0.25
)

// health is what the results of real requests say of one target. A target that
// failed rests; then one request at a time probes it until one is served.
type health struct {
	results           resultCounts
	consecutiveBroken int
	ejection          time.Duration
	// ejectedUntil is the end of the present rest, or zero.
	ejectedUntil  time.Time
	probeInFlight bool
	// probation says that the target has not served a request since its rest.
	probation bool
	// ejectedForErrors says that it rests because it answers with errors, not because it does
	// not answer.
	ejectedForErrors bool
}

// usable says whether the target may get a request.
func (h *health) usable(now time.Time) bool {
	if now.Before(h.ejectedUntil) {
		return false
	}
	return !h.probation || !h.probeInFlight
}

// recordDispatch notes a request on its way to the target.
func (h *health) recordDispatch() {
	if h.probation {
		h.probeInFlight = true
	}
}

// recordResult takes in how a dispatch recordResult.
func (h *health) recordResult(now time.Time, result Result) {
	h.probeInFlight = false
	switch result {
	case Served:
		h.recordSuccess(now)
	case Failed, Rejected:
		h.results.add(now, true)
		h.consecutiveBroken = 0
		h.recordErrorAnswer(now)
	case Broken:
		h.results.add(now, true)
		h.consecutiveBroken++
		if h.consecutiveBroken >= maxConsecutiveBroken || h.probation {
			h.eject(now, baseEjection)
		}
	case Unreachable, Misaddressed:
		h.eject(now, unreachableEjection)
	case Abandoned:
	}
}

func (h *health) recordSuccess(now time.Time) {
	h.results.add(now, false)
	h.consecutiveBroken = 0
	if h.probation {
		// What it did before its rest says nothing of it any more.
		h.results = resultCounts{successes: 1, updatedAt: now}
	}
	h.probation = false
	h.ejection = 0
	h.ejectedUntil = time.Time{}
}

// recordErrorAnswer takes in an error as the answer to a probe. It shows that a target is back
// that did not answer before, but not one that recordErrorAnswer with errors.
func (h *health) recordErrorAnswer(now time.Time) {
	switch {
	case !h.probation:
	case h.ejectedForErrors:
		h.eject(now, baseEjection)
		h.ejectedForErrors = true
	default:
		h.probation = false
		h.ejection = 0
	}
}

// eject begins a rest, twice as long as the one before.
func (h *health) eject(now time.Time, first time.Duration) {
	if now.Before(h.ejectedUntil) {
		return
	}
	h.ejection = min(max(2*h.ejection, first), maxEjection)
	h.ejectedUntil = now.Add(h.ejection)
	h.probation = true
	h.ejectedForErrors = false
	h.consecutiveBroken = 0
}

// isOutlier says whether a target with these results stands out among a pool with
// those of all its targets.
func isOutlier(own, pool resultCounts) bool {
	if own.failures < outlierMinFailures {
		return false
	}
	share := own.failures / (own.failures + own.successes)
	restBad, restGood := max(pool.failures-own.failures, 0), max(pool.successes-own.successes, 0)
	rest := 0.0
	if restBad+restGood > 0 {
		rest = restBad / (restBad + restGood)
	}
	return share >= outlierMinRatio && share >= rest+outlierMinExcess
}
