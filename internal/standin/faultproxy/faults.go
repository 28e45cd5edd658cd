package faultproxy

// Faults describes the faults of a link. The zero value means no faults.
type Faults struct {
	// Cut delays the bytes in both directions until the cut ends.
	Cut bool `json:"cut,omitempty"`
	// CutToTarget and CutToClient delay the bytes in one direction.
	CutToTarget bool `json:"cutToTarget,omitempty"`
	CutToClient bool `json:"cutToClient,omitempty"`
	// DelayMs delays the bytes in each direction.
	DelayMs int `json:"delayMs,omitempty"`
	// Refuse refuses new connections and resets open ones.
	Refuse bool `json:"refuse,omitempty"`
}
