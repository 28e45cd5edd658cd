package loadmodel

import "time"

// Burst multiplies the arrivals for a while.
type Burst struct {
	From   time.Duration
	To     time.Duration
	Factor float64
}
