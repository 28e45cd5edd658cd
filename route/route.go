package route

import "time"

// Route tells how the requests under one path prefix of one host name are served.
type Route struct {
	Name string
	// HostName is the name that callers address, in lower case.
	HostName string
	// PathPrefix begins and ends with a slash.
	PathPrefix string
	Kind       Kind
	// Resumable says that a stream that broke off may go on at another target.
	Resumable bool
	// Timeout is the longest time that a caller is kept waiting; zero means no
	// limit.
	Timeout time.Duration
	// LatencyObjective is the time within which an answer, or a stream's first event,
	// is on time.
	LatencyObjective time.Duration
	// EventGapObjective is the longest pause between the events of a stream that is
	// on time.
	EventGapObjective time.Duration
	// Priority ranks the route; 0 is served first.
	Priority int
	// MaxAttempts bounds the targets that one request may be sent to; it is at
	// least 1.
	MaxAttempts int
	// Public routes need no key.
	Public bool
	// WeightedPools names the pools that serve the route; it is never empty.
	WeightedPools []WeightedPool
}

// Retryable says whether a request may run at a second target after it may have
// run at a first one.
func (r *Route) Retryable() bool { return r.Kind == Idempotent }
