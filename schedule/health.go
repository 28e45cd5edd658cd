package schedule

import "time"

const (
	// firstRest and longestRest bound how long a target gets no requests after
	// it failed; each failed probe doubles the rest.
	firstRest   = 400 * time.Millisecond
	longestRest = 3 * time.Second
	// unreachableRest is the first rest after a connection could not be opened.
	unreachableRest = 200 * time.Millisecond
	// breaksToRest is the number of broken answers, without a good one between
	// them, after which a target rests.
	breaksToRest = 2
	// outlierResults is the least number of bad results that make an outlier.
	outlierResults = 2.5
	// outlierShare is the least share of bad results that makes an outlier, and
	// outlierExcess how much larger than in the rest of the pool it must be.
	outlierShare  = 0.3
	outlierExcess = 0.25
)

// health is what the results of real requests say of one target. A target that
// failed rests; then one request at a time probes it until one is served.
type health struct {
	results tally
	breaks  int
	rest    time.Duration
	// until is the end of the present rest, or zero.
	until   time.Time
	probing bool
	// probation says that the target has not served a request since its rest.
	probation bool
	// erring says that it rests because it answers with errors, not because it does
	// not answer.
	erring bool
}

// usable says whether the target may get a request.
func (h *health) usable(now time.Time) bool {
	if now.Before(h.until) {
		return false
	}
	return !h.probation || !h.probing
}

// dispatched notes a request on its way to the target.
func (h *health) dispatched() {
	if h.probation {
		h.probing = true
	}
}

// ended takes in how a dispatch ended.
func (h *health) ended(now time.Time, result Result) {
	h.probing = false
	switch result {
	case Served:
		h.served(now)
	case Failed, Rejected:
		h.results.add(now, true)
		h.breaks = 0
		h.answered(now)
	case Broken:
		h.results.add(now, true)
		h.breaks++
		if h.breaks >= breaksToRest || h.probation {
			h.restFor(now, firstRest)
		}
	case Unreachable, Misaddressed:
		h.restFor(now, unreachableRest)
	case Abandoned:
	}
}

func (h *health) served(now time.Time) {
	h.results.add(now, false)
	h.breaks = 0
	if h.probation {
		// What it did before its rest says nothing of it any more.
		h.results = tally{good: 1, at: now}
	}
	h.probation = false
	h.rest = 0
	h.until = time.Time{}
}

// answered takes in an error as the answer to a probe. It shows that a target is back
// that did not answer before, but not one that answered with errors.
func (h *health) answered(now time.Time) {
	switch {
	case !h.probation:
	case h.erring:
		h.restFor(now, firstRest)
		h.erring = true
	default:
		h.probation = false
		h.rest = 0
	}
}

// restFor begins a rest, twice as long as the one before.
func (h *health) restFor(now time.Time, first time.Duration) {
	if now.Before(h.until) {
		return
	}
	h.rest = min(max(2*h.rest, first), longestRest)
	h.until = now.Add(h.rest)
	h.probation = true
	h.erring = false
	h.breaks = 0
}

// outlier says whether a target with these results stands out among a pool with
// those of all its targets.
func outlier(own, pool tally) bool {
	if own.bad < outlierResults {
		return false
	}
	share := own.bad / (own.bad + own.good)
	restBad, restGood := max(pool.bad-own.bad, 0), max(pool.good-own.good, 0)
	rest := 0.0
	if restBad+restGood > 0 {
		rest = restBad / (restBad + restGood)
	}
	return share >= outlierShare && share >= rest+outlierExcess
}
