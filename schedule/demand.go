package schedule

import (
	"math"
	"time"
)

// demandMemory is the time constant with which past arrivals count less.
const demandMemory = 4 * time.Second

// demand is what arrives at one rank of a pool, and how long it takes.
type demand struct {
	// arrivals decays; divided by the memory it is a rate.
	arrivals float64
	at       time.Time
	// service is the mean time in service in seconds, or zero if none ended yet.
	service float64
}

func (d *demand) decay(now time.Time) {
	if !d.at.IsZero() && now.After(d.at) {
		d.arrivals *= math.Exp(-now.Sub(d.at).Seconds() / demandMemory.Seconds())
	}
	d.at = now
}

func (d *demand) arrived(now time.Time) {
	d.decay(now)
	d.arrivals++
}

func (d *demand) served(seconds float64) {
	if d.service == 0 {
		d.service = seconds
		return
	}
	blend(&d.service, seconds, demandServiceMemory)
}

// demandServiceMemory is the weight of a new time in service.
const demandServiceMemory = 0.1

// rate returns the arrivals a second.
func (d *demand) rate(now time.Time) float64 {
	d.decay(now)
	return d.arrivals / demandMemory.Seconds()
}

// slots returns how many slots the rank takes up on average.
func (d *demand) slots(now time.Time) float64 { return d.rate(now) * d.service }
