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
	slots float64
	at    time.Time
}

func (d *demand) rate(now time.Time) float64 {
	if d.at.IsZero() {
		return 0
	}
	return d.slots * math.Exp(-now.Sub(d.at).Seconds()/demandTimeConstant.Seconds())
}

func (d *demand) add(now time.Time, seconds float64) {
	d.slots = max(0, d.rate(now)+seconds/demandTimeConstant.Seconds())
	d.at = now
}
