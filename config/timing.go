package config

import "github.com/cornelyard/cornelyard/settings"

// Timing holds this host's intervals. Zero means the default.
type Timing struct {
	// Heartbeat is the interval of heartbeats.
	Heartbeat settings.Duration `json:"heartbeat,omitempty"`
	// SuspectAfter and DeadAfter are silences.
	SuspectAfter settings.Duration `json:"suspectAfter,omitempty"`
	DeadAfter    settings.Duration `json:"deadAfter,omitempty"`
	// GrantLease is how long a grant may wait for its dispatch.
	GrantLease settings.Duration `json:"grantLease,omitempty"`
	// ReadinessDelay is how long a stopping host still listens, so that the
	// balancer can notice.
	ReadinessDelay settings.Duration `json:"readinessDelay,omitempty"`
	// DrainLimit bounds a planned stop; zero waits for every stream.
	DrainLimit settings.Duration `json:"drainLimit,omitempty"`
	// ClaimRetention is how long idempotency keys and kept answers are kept.
	ClaimRetention settings.Duration `json:"claimRetention,omitempty"`
}
