package routing

import "time"

// occupancyWindow is the time constant of the decay.
const occupancyWindow = 3 * time.Second

// occupancy is the mean number of a target's running requests over time, with
// decay.
type occupancy struct {
	mean      float64
	current   int
	updatedAt time.Time
}

// record sets the current number of running requests.
func (o *occupancy) record(now time.Time, running int) {
	o.mean = o.meanAt(now)
	o.current = running
	o.updatedAt = now
}

func (o *occupancy) meanAt(now time.Time) float64 {
	if o.updatedAt.IsZero() {
		return 0
	}
	age := float64(now.Sub(o.updatedAt)) / float64(occupancyWindow)
	// The first terms of the exponential series are accurate enough here and cheaper
	// than math.Exp.
	decay := 1 / (1 + age + age*age/2)
	return float64(o.current) + (o.mean-float64(o.current))*decay
}
