package config

// Limits bounds what this host takes on. Zero means the default.
type Limits struct {
	// MaxBodyBytes bounds a request's body.
	MaxBodyBytes int64 `json:"maxBodyBytes,omitempty"`
	// MaxRequests bounds the requests held at once.
	MaxRequests int `json:"maxRequests,omitempty"`
	// MaxConnections bounds the callers' connections.
	MaxConnections int `json:"maxConnections,omitempty"`
	// StreamBufferBytes bounds what is held for one slow caller.
	StreamBufferBytes int `json:"streamBufferBytes,omitempty"`
	// TimelineEvents is the size of the time line's ring.
	TimelineEvents int `json:"timelineEvents,omitempty"`
}
