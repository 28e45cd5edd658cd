package admission

import (
	"math"
	"time"
)

const (
	// hazardWindow is the time constant of the hazard's memory.
	hazardWindow = 30 * time.Second
	// hazardPrior is the time in service without preemption that is assumed
	// before any is known.
	hazardPrior = 10.0 // seconds
)

// hazard learns how often the requests of a tier are preempted for each second
// in service.
type hazard struct {
	preemptions float64
	served      float64
	at          time.Time
}

// note takes in that a request left service after so long.
func (h *hazard) note(now time.Time, served time.Duration, preempted bool) {
	h.decay(now)
	h.served += served.Seconds()
	if preempted {
		h.preemptions++
	}
}

// chance returns the chance that a request is preempted before it has been so
// many seconds in service.
func (h *hazard) chance(now time.Time, seconds float64) float64 {
	h.decay(now)
	if h.preemptions == 0 {
		return 0
	}
	rate := h.preemptions / (h.served + hazardPrior)
	return 1 - math.Exp(-rate*seconds)
}

func (h *hazard) decay(now time.Time) {
	if !h.at.IsZero() {
		part := math.Exp(-now.Sub(h.at).Seconds() / hazardWindow.Seconds())
		h.preemptions *= part
		h.served *= part
	}
	h.at = now
}
