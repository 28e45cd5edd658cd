package routing

import "time"

// occupancyWindow is the time constant of the mean number in service.
const occupancyWindow = 3 * time.Second

// occupancy is a decaying mean, over time, of a target's requests in service.
type occupancy struct {
	mean    float64
	current int
	at      time.Time
}

// change takes in a new number in service.
func (o *occupancy) change(now time.Time, inService int) {
	o.mean = o.meanAt(now)
	o.current = inService
	o.at = now
}

func (o *occupancy) meanAt(now time.Time) float64 {
	if o.at.IsZero() {
		return 0
	}
	age := float64(now.Sub(o.at)) / float64(occupancyWindow)
	// The first terms of the exponential suffice here and are cheaper.
	part := 1 / (1 + age + age*age/2)
	return float64(o.current) + (o.mean-float64(o.current))*part
}
