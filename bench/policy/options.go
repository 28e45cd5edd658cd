package policy

import "time"

// options configures the measurement.
type options struct {
	seed  uint64
	shape string
	// deadlines is scaledDeadlines or fixedDeadlines.
	deadlines string
	duration  time.Duration
	warmUp    time.Duration
	loads     []float64
	policies  []string
	// slowLoad is the load of the runs with a slowed and with an absent engine; zero skips
	// these runs.
	slowLoad float64
}
