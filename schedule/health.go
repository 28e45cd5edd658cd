package schedule

import "time"

const (
	// baseEjection and maxEjection bound how long a target gets no requests after it
	// failed; each failed probe doubles the time.
	baseEjection = 400 * time.Millisecond
	maxEjection  = 3 * time.Second
	// unreachableEjection is the first ejection time after a failure to connect.
	unreachableEjection = 200 * time.Millisecond
	// ejectAfterBroken is the number of broken responses, without a success between
	// them, that ejects a target.
	ejectAfterBroken = 2
	// outlierMinFailures is the least decayed count of failures that makes an outlier.
	outlierMinFailures = 2.5
	// outlierMinRatio is the least failure ratio that makes an outlier, and
	// outlierMinExcess how far it must exceed the ratio of the rest of the pool.
	outlierMinRatio  = 0.3
	outlierMinExcess = 0.25
	// probeWindow is how long after an ejection other hosts leave the target to the
	// probes of this one. A host that has no requests for the target sends it no probe.
	probeWindow = 3 * time.Second
)

// health is the passive health state of one target, derived from the results of real
// requests. A target that failed is ejected; after the ejection time it gets one probe
// request at a time until one shows that it is back.
type health struct {
	results           resultCounts
	consecutiveBroken int
	ejection          time.Duration
	// ejectedUntil is the end of the current ejection, or zero.
	ejectedUntil  time.Time
	probeInFlight bool
	// probation is set from an ejection until a probe shows that the target is back.
	probation bool
	// ejectedForErrors says that the target was ejected because it responds with errors,
	// rather than because it does not respond.
	ejectedForErrors bool
}

// usable reports whether the target may get a request.
func (h *health) usable(now time.Time) bool {
	if now.Before(h.ejectedUntil) {
		return false
	}
	return !h.probation || !h.probeInFlight
}

// leftToProbes reports whether other hosts are to leave the target to this host's probes.
func (h *health) leftToProbes(now time.Time) bool {
	return h.probation && (h.probeInFlight || now.Before(h.ejectedUntil.Add(probeWindow)))
}

// recordDispatch records that a request is being sent to the target.
func (h *health) recordDispatch() {
	if h.probation {
		h.probeInFlight = true
	}
}

// recordResult updates the state with the result of a dispatch.
func (h *health) recordResult(now time.Time, result Result) {
	h.probeInFlight = false
	switch result {
	case Served:
		h.recordSuccess(now)
	case Failed, Rejected:
		h.results.add(now, true)
		h.consecutiveBroken = 0
		h.recordErrorResponse(now)
	case Broken:
		h.results.add(now, true)
		h.consecutiveBroken++
		if h.consecutiveBroken >= ejectAfterBroken || h.probation {
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
		// Results from before the ejection no longer describe the target.
		h.results = resultCounts{successes: 1, updatedAt: now}
	}
	h.probation = false
	h.ejection = 0
	h.ejectedUntil = time.Time{}
}

// recordErrorResponse handles an error response during probation. It shows that a
// target which did not respond is back, but not that one which responded with errors
// has recovered.
func (h *health) recordErrorResponse(now time.Time) {
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

// eject starts an ejection of twice the previous length, within base and maxEjection. It
// has no effect during an ejection.
func (h *health) eject(now time.Time, base time.Duration) {
	if now.Before(h.ejectedUntil) {
		return
	}
	h.ejection = min(max(2*h.ejection, base), maxEjection)
	h.ejectedUntil = now.Add(h.ejection)
	h.probation = true
	h.ejectedForErrors = false
	h.consecutiveBroken = 0
}

// isOutlier reports whether the failure ratio of a target stands out from that of the
// other targets. The counts of pool include those of the target itself.
func isOutlier(own, pool resultCounts) bool {
	if own.failures < outlierMinFailures {
		return false
	}
	ratio := own.failures / (own.failures + own.successes)
	othersFailed, othersSucceeded := max(pool.failures-own.failures, 0), max(pool.successes-own.successes, 0)
	othersRatio := 0.0
	if othersFailed+othersSucceeded > 0 {
		othersRatio = othersFailed / (othersFailed + othersSucceeded)
	}
	return ratio >= outlierMinRatio && ratio >= othersRatio+outlierMinExcess
}
