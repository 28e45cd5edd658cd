package schedule

import "github.com/cornelyard/cornelyard/ident"

// Observation is what one host, or the hosts of a data centre, saw of one target.
type Observation struct {
	Target ident.Target
	Speeds Speeds
	// Ejected says that the host sends nothing to the target, because it failed.
	Ejected bool
	// Successes and Bad are decayed counts of dispatches, by how they ended.
	Successes float64
	Failures  float64
}
