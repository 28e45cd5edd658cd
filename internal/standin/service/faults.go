package service

// Faults describes the faults of the service. The zero value means no faults.
type Faults struct {
	// Freeze delays all calls until it ends.
	Freeze bool `json:"freeze,omitempty"`
	// Leaving rejects calls with status 503 and "X-Target-Leaving: true".
	Leaving bool `json:"leaving,omitempty"`
	// DelayMs is added to the delay of each call.
	DelayMs int `json:"delayMs,omitempty"`

	// Times limits the call faults below to that many calls. Zero means no limit.
	Times int `json:"times,omitempty"`
	CallFaults
}

// callFaults returns the faults for a call and counts it against Times.
func (f *Faults) callFaults() CallFaults {
	active := f.CallFaults
	if f.Times > 0 {
		f.Times--
		if f.Times == 0 {
			f.CallFaults = CallFaults{}
		}
	}
	return active
}
