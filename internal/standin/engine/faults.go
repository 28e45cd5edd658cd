package engine

import "strings"

// Faults describes the faults of the engine. The zero value means no faults.
type Faults struct {
	// SlowFactor multiplies the duration of each step; zero and one have no effect. It
	// also applies to running streams.
	SlowFactor float64 `json:"slowFactor,omitempty"`
	// Freeze suspends steps, responses and load reports.
	Freeze bool `json:"freeze,omitempty"`
	// Leaving rejects new requests with status 503 and "X-Target-Leaving: true".
	Leaving bool `json:"leaving,omitempty"`
	// RefuseResume rejects requests to resume a stream with status 404.
	RefuseResume bool `json:"refuseResume,omitempty"`

	// Match limits the request faults below to prompts that contain it.
	Match string `json:"match,omitempty"`
	// Times limits the request faults below to that many requests. Zero means no
	// limit.
	Times int `json:"times,omitempty"`
	RequestFaults
}

// requestFaults returns the faults for a request with the prompt and counts it against
// Times.
func (f *Faults) requestFaults(prompt string) RequestFaults {
	if f.RequestFaults == (RequestFaults{}) || !strings.Contains(prompt, f.Match) {
		return RequestFaults{}
	}
	active := f.RequestFaults
	if f.Times > 0 {
		f.Times--
		if f.Times == 0 {
			f.RequestFaults = RequestFaults{}
		}
	}
	return active
}
