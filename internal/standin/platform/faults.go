package platform

// Faults describes how the platform misbehaves. The zero value is healthy.
type Faults struct {
	// Outage answers every call with status 503.
	Outage bool `json:"outage,omitempty"`
	// Hang takes calls and neither applies nor answers them.
	Hang bool `json:"hang,omitempty"`
	// DelayMs delays every call before it takes effect.
	DelayMs int `json:"delayMs,omitempty"`
	// LostConfirmations is the number of coming writes that are applied and
	// whose connection is then cut; -1 means all.
	LostConfirmations int `json:"lostConfirmations,omitempty"`
	// LostRequests is the number of coming writes whose connection is cut and
	// that are not applied; -1 means all.
	LostRequests int `json:"lostRequests,omitempty"`
}

// take consumes one of a count of faults; -1 lasts.
func consume(count *int) bool {
	if *count == 0 {
		return false
	}
	if *count > 0 {
		*count--
	}
	return true
}
