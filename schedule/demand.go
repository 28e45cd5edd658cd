package schedule

import (
	"math"
	"time"
)

// demandTimeConstant is the time constant of the exponential decay of past arrivals.
const demandTimeConstant = 4 * time.Second

// demand tracks the arrivals at one rank of a pool and their service time.
type demand struct {
	// arrivals is an exponentially decayed count; divided by demandTimeConstant it is the
	// arrival rate.
	arrivals  float64
	updatedAt time.Time
	// meanService is the mean service time in seconds, or zero until a request has
	// been served.
	meanService float64
}

func (d *demand) decay(now time.Time) {
	if !d.updatedAt.IsZero() && now.After(d.updatedAt) {
		d.arrivals *= math.Exp(-now.Sub(d.updatedAt).Seconds() / demandTimeConstant.Seconds())
	}
	d.updatedAt = now
}

func (d *demand) recordArrival(now time.Time) {
	d.decay(now)
	d.arrivals++
}

func (d *demand) recordServiceTime(seconds float64) {
	if d.meanService == 0 {
		d.meanService = seconds
		return
	}
	updateEWMA(&d.meanService, seconds, demandServiceWeight)
}

// demandServiceWeight is the weight of a new sample in the mean service time.
const demandServiceWeight = 0.1

// rate returns the arrivals per second.
func (d *demand) rate(now time.Time) float64 {
	d.decay(now)
	return d.arrivals / demandTimeConstant.Seconds()
}

// meanSlots returns the average number of slots that the rank occupies.
func (d *demand) meanSlots(now time.Time) float64 { return d.rate(now) * d.meanService }
