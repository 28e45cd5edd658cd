package service

// Faults describes how the service misbehaves. The zero value is healthy.
type Faults struct {
	// Freeze holds all calls back.
	Freeze bool `json:"freeze,omitempty"`
	// Leaving refuses calls with status 503 and "X-Target-Leaving: true".
	Leaving bool `json:"leaving,omitempty"`
	// DelayMs is added to the delay of each call.
	DelayMs int `json:"delayMs,omitempty"`

	// Times limits the faults below to that many calls; zero means all.
	Times int `json:"times,omitempty"`
	CallFaults
}

// callFaults returns the faults that act on one more call.
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
