package route

import "time"

// Route defines how requests for one host name and path prefix are served.
type Route struct {
	Name string
	// HostName is the host name that callers address, in lower case.
	HostName string
	// PathPrefix begins and ends with a slash.
	PathPrefix string
	Kind       Kind
	// Resumable is set if an interrupted stream may continue at another target.
	Resumable bool
	// Timeout is the longest time that a caller waits; zero means no limit.
	Timeout time.Duration
	// LatencyObjective is the target latency of a response, or of a stream's first
	// event.
	LatencyObjective time.Duration
	// EventGapObjective is the target for the longest gap between two events of a
	// stream.
	EventGapObjective time.Duration
	// Priority orders routes; 0 is served first.
	Priority int
	// MaxAttempts is the number of times that one request may be sent to a target;
	// it is at least 1.
	MaxAttempts int
	// Public routes need no API key.
	Public bool
	// WeightedPools lists the pools that serve the route; it is never empty.
	WeightedPools []WeightedPool
}

// Retryable reports whether a request may be sent to another target although it may
// already have run at the first one.
func (r *Route) Retryable() bool { return r.Kind == Idempotent }
