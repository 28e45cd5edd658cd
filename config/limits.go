package config

// Limits are the resource limits of this host. Zero means the default.
type Limits struct {
	// MaxBodyBytes limits the size of a request body.
	MaxBodyBytes int64 `json:"maxBodyBytes,omitempty"`
	// MaxRequests limits the requests in flight.
	MaxRequests int `json:"maxRequests,omitempty"`
	// MaxConnections limits the open connections of callers.
	MaxConnections int `json:"maxConnections,omitempty"`
	// StreamBufferBytes limits the response data buffered for one slow caller.
	StreamBufferBytes int `json:"streamBufferBytes,omitempty"`
	// TimelineEvents is the capacity of the time line's ring buffer.
	TimelineEvents int `json:"timelineEvents,omitempty"`
}
