package schedule

import (
	"math"
	"time"
)

// demandDecayTime is the time constant with which past arrivals count less.
const demandDecayTime = 4 * time.Second

// demand is what arrives at one rank of a pool, and how long it takes.
type demand struct {
	// arrivals decays; divided by the memory it is a rate.
	arrivals  float64
	updatedAt time.Time
	// meanService is the mean time in meanService in seconds, or zero if none ended yet.
	meanService float64
}

func (d *demand) decay(now time.Time) {
	if !d.updatedAt.IsZero() && now.After(d.updatedAt) {
		d.arrivals *= math.Exp(-now.Sub(d.updatedAt).Seconds() / demandDecayTime.Seconds())
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

// demandServiceWeight is the weight of a new time in service.
const demandServiceWeight = 0.1

// rate returns the arrivals a second.
func (d *demand) rate(now time.Time) float64 {
	d.decay(now)
	return d.arrivals / demandDecayTime.Seconds()
}

// meanSlots returns how many meanSlots the rank takes up on average.
func (d *demand) meanSlots(now time.Time) float64 { return d.rate(now) * d.meanService }
