package faultproxy

// Faults describes how a link misbehaves. The zero value is healthy.
type Faults struct {
	// Cut holds back the bytes of both directions.
	Cut bool `json:"cut,omitempty"`
	// CutToTarget and CutToClient hold back those of one direction.
	CutToTarget bool `json:"cutToTarget,omitempty"`
	CutToClient bool `json:"cutToClient,omitempty"`
	// DelayMs delays the bytes of each direction.
	DelayMs int `json:"delayMs,omitempty"`
	// Refuse refuses new connections and resets the open ones.
	Refuse bool `json:"refuse,omitempty"`
}
