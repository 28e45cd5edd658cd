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

// CallFaults act on single calls, after the call was counted.
type CallFaults struct {
	// FailStatus answers with that status.
	FailStatus int `json:"failStatus,omitempty"`
	// Cut cuts the connection in place of the answer.
	Cut bool `json:"cut,omitempty"`
	// CutInBody cuts the connection in the middle of the answer.
	CutInBody bool `json:"cutInBody,omitempty"`
	// CloseReused closes the connection after reading the call if the
	// connection carried a call before.
	CloseReused bool `json:"closeReused,omitempty"`
	// Crash crashes the service.
	Crash bool `json:"crash,omitempty"`
	// WrongID answers with an id that nobody sent.
	WrongID bool `json:"wrongID,omitempty"`
	// Hang never answers.
	Hang bool `json:"hang,omitempty"`
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
