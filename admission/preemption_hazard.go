package admission

import (
	"math"
	"time"
)

const (
	// hazardTimeConstant is the time constant of the hazard's exponential
	// decay.
	hazardTimeConstant = 30 * time.Second
	// hazardPriorSeconds is the running time without preemption that is assumed
	// before any observation.
	hazardPriorSeconds = 10.0
)

// preemptionHazard estimates the preemption rate of a tier's requests per
// second of running time.
type preemptionHazard struct {
	preemptions    float64
	runningSeconds float64
	updatedAt      time.Time
}

// observe records that a request stopped running after this time.
func (h *preemptionHazard) observe(now time.Time, running time.Duration, preempted bool) {
	h.decay(now)
	h.runningSeconds += running.Seconds()
	if preempted {
		h.preemptions++
	}
}

// probability returns the probability that a request is preempted within this
// many seconds of running time.
func (h *preemptionHazard) probability(now time.Time, seconds float64) float64 {
	h.decay(now)
	if h.preemptions == 0 {
		return 0
	}
	rate := h.preemptions / (h.runningSeconds + hazardPriorSeconds)
	return 1 - math.Exp(-rate*seconds)
}

func (h *preemptionHazard) decay(now time.Time) {
	if !h.updatedAt.IsZero() {
		factor := math.Exp(-now.Sub(h.updatedAt).Seconds() / hazardTimeConstant.Seconds())
		h.preemptions *= factor
		h.runningSeconds *= factor
	}
	h.updatedAt = now
}
