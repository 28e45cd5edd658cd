package loadmodel

// Policy selects how requests are assigned to engines.
type Policy int

const (
	// Scheduled runs a schedule.Scheduler on every host.
	Scheduled Policy = iota
	// LeastLocalRequests is the baseline: each host immediately sends a request to the
	// engine with the fewest requests from that host, and the engine queues it.
	LeastLocalRequests
)
