package admission

import (
	"math"
	"time"
)

// demandTimeConstant is the time constant of the demand's exponential decay.
const demandTimeConstant = 10 * time.Second

// demand is an exponentially decaying rate of arriving work, in seconds of
// running time a second, that is, in slots.
type demand struct {
	slots     float64
	updatedAt time.Time
}

func (d *demand) rate(now time.Time) float64 {
	if d.updatedAt.IsZero() {
		return 0
	}
	return d.slots * math.Exp(-now.Sub(d.updatedAt).Seconds()/demandTimeConstant.Seconds())
}

func (d *demand) add(now time.Time, seconds float64) {
	d.slots = max(0, d.rate(now)+seconds/demandTimeConstant.Seconds())
	d.updatedAt = now
}
