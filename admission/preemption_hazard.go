package admission

import (
	"math"
	"time"
)

const (
	// hazardWindow is the time constant of the hazard's memory.
	hazardTimeConstant = 30 * time.Second
	// hazardPrior is the time in service without preemption that is assumed
	// before any is known.
	hazardPriorSeconds = 10.0 // seconds
)

// hazard learns how often the requests of a tier are preempted for each second
// in service.
type preemptionHazard struct {
	preemptions    float64
	runningSeconds float64
	at             time.Time
}

// note takes in that a request left service after so long.
func (h *preemptionHazard) observe(now time.Time, running time.Duration, preempted bool) {
	h.decay(now)
	h.runningSeconds += running.Seconds()
	if preempted {
		h.preemptions++
	}
}

// chance returns the chance that a request is preempted before it has been so
// many seconds in service.
func (h *preemptionHazard) probability(now time.Time, seconds float64) float64 {
	h.decay(now)
	if h.preemptions == 0 {
		return 0
	}
	rate := h.preemptions / (h.runningSeconds + hazardPriorSeconds)
	return 1 - math.Exp(-rate*seconds)
}

func (h *preemptionHazard) decay(now time.Time) {
	if !h.at.IsZero() {
		factor := math.Exp(-now.Sub(h.at).Seconds() / hazardTimeConstant.Seconds())
		h.preemptions *= factor
		h.runningSeconds *= factor
	}
	h.at = now
}
