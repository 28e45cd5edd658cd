package schedule

import "github.com/cornelyard/cornelyard/ident"

// Observation is what one host, or all hosts of a data centre, measured of one target.
type Observation struct {
	Target ident.Target
	Speeds Speeds
	// Ejected says that the host has ejected the target and that its probes are to find
	// out when it is back.
	Ejected bool
	// Successes and Failures are exponentially decayed counts of finished dispatches.
	Successes float64
	Failures  float64
}
