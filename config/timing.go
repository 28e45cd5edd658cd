package config

import "github.com/cornelyard/cornelyard/settings"

// Timing holds the intervals and timeouts of this host. Zero means the default.
type Timing struct {
	// Heartbeat is the interval between heartbeats.
	Heartbeat settings.Duration `json:"heartbeat,omitempty"`
	// SuspectAfter and DeadAfter are the times without a heartbeat after which another
	// host is considered suspect and dead.
	SuspectAfter settings.Duration `json:"suspectAfter,omitempty"`
	DeadAfter    settings.Duration `json:"deadAfter,omitempty"`
	// GrantLease is the time within which a granted request must be dispatched.
	GrantLease settings.Duration `json:"grantLease,omitempty"`
	// ReadinessDelay is how long a stopping host keeps its listeners open, so that the
	// load balancer notices that it is not ready.
	ReadinessDelay settings.Duration `json:"readinessDelay,omitempty"`
	// DrainLimit limits how long a planned stop waits for open streams; zero means no
	// limit.
	DrainLimit settings.Duration `json:"drainLimit,omitempty"`
	// ClaimRetention is how long idempotency keys and their stored responses are
	// retained.
	ClaimRetention settings.Duration `json:"claimRetention,omitempty"`
}
