package admission

import (
	"math"
	"time"
)

// demandWindow is the time constant of the demand.
const demandTimeConstant = 10 * time.Second

// demand is a decaying rate of arriving work, in seconds of service a second,
// that is, in slots.
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
