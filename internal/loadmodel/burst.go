package loadmodel

import "time"

// Burst multiplies the arrival rate from From until To.
type Burst struct {
	From   time.Duration
	To     time.Duration
	Factor float64
}
