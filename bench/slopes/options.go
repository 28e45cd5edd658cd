package slopes

import "time"

// options configures the measurement.
type options struct {
	// series selects series by name; empty selects all.
	series []string
	// settle is the time between the start of a load and its window.
	settle time.Duration
	// window is how long each point is measured.
	window time.Duration
	// maxHosts bounds the number of daemons that run concurrently.
	maxHosts int
	// heartbeat is the daemons' heartbeat interval; zero selects their default.
	heartbeat time.Duration
}
