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
	// maxPreemptionChance is the chance of being preempted beyond which a request
	// is not started.
	maxPreemptionChance = 0.2
)

// hazard learns how often the requests of a tier are preempted for each second
// in service, so that none is started that would hardly come to its end.
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

// longest returns the longest time in service, in seconds, that a request has a
// fair chance to end without being preempted.
func (h *hazard) longest(now time.Time) float64 {
	h.decay(now)
	rate := h.preemptions / (h.served + hazardPrior)
	if rate == 0 {
		return math.Inf(1)
	}
	return -math.Log(1-maxPreemptionChance) / rate
}

func (h *hazard) decay(now time.Time) {
	if !h.at.IsZero() {
		part := math.Exp(-now.Sub(h.at).Seconds() / hazardWindow.Seconds())
		h.preemptions *= part
		h.served *= part
	}
	h.at = now
}
