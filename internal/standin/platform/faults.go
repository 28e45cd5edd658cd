package platform

// Faults describes the faults of the platform. The zero value means no faults.
type Faults struct {
	// Outage responds to every call with status 503.
	Outage bool `json:"outage,omitempty"`
	// Hang accepts calls but neither applies them nor responds.
	Hang bool `json:"hang,omitempty"`
	// DelayMs delays every call before it takes effect.
	DelayMs int `json:"delayMs,omitempty"`
	// LostConfirmations is the number of subsequent writes that are applied but whose
	// connection is aborted before the response; -1 means all.
	LostConfirmations int `json:"lostConfirmations,omitempty"`
	// LostRequests is the number of subsequent writes whose connection is aborted
	// before they are applied; -1 means all.
	LostRequests int `json:"lostRequests,omitempty"`
}

// consume decrements a fault counter and reports whether the fault applies. -1 never
// runs out.
func consume(count *int) bool {
	if *count == 0 {
		return false
	}
	if *count > 0 {
		*count--
	}
	return true
}
