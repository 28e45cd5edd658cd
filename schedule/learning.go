package schedule

import "time"

// learnPrefillRate records a sample of the prefill rate of a request's target. If the target
// states how long work takes on its machine, the sample is converted to the usual state, so that
// a slow moment does not affect predictions after its end.
func (p *pool) learnPrefillRate(now time.Time, r *runningRequest, rate float64) {
	t := r.target
	if !t.machine.stated() {
		updateSpeed(&t.speeds.PrefillRate, rate)
		updateEWMA(&p.prefillRate, rate, poolSampleWeight)
		return
	}
	if r.startUnixMs != t.StartUnixMs {
		return
	}
	rate *= t.machine.expected(now)
	t.prefillEvidence.update(now, &t.speeds.PrefillRate, rate, t.machine.certainty(now))
	updateEWMA(&p.prefillRate, rate, poolSampleWeight)
}

// learnEventInterval is like learnPrefillRate for the mean event interval of a stream.
func (p *pool) learnEventInterval(now time.Time, r *runningRequest, interval float64) {
	t := r.target
	if !t.machine.stated() {
		updateSpeed(&t.speeds.EventInterval, interval)
		updateEWMA(&p.eventInterval, interval, poolSampleWeight)
		return
	}
	if r.startUnixMs != t.StartUnixMs {
		return
	}
	factor, certainty := r.machine.means()
	interval /= factor
	t.intervalEvidence.update(now, &t.speeds.EventInterval, interval, certainty)
	updateEWMA(&p.eventInterval, interval, poolSampleWeight)
}
