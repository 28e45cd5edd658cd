package slopes

import "time"

// options of the measurement.
type options struct {
	// series selects the series by name; empty means all.
	series []string
	// settle is the time between the start of a load and the window.
	settle time.Duration
	// window is how long each point is measured.
	window time.Duration
	// maxHosts bounds the daemons that run at once.
	maxHosts int
	// heartbeat is the daemons' interval; zero means their default.
	heartbeat time.Duration
}
