package rollout

import "time"

// Options are the bounds of a rollout.
type Options struct {
	// ExposureShare and ExposureAllowance bound the requests that a bad version gets: this
	// share of those that arrive between the order and its deadline, and this number in
	// addition.
	ExposureShare     float64
	ExposureAllowance float64
	// RollbackTime is the time from the 50th bad response to the last request that the
	// version gets.
	RollbackTime time.Duration
}
