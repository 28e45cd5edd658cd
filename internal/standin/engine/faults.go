package engine

import "strings"

// Faults describes how the engine misbehaves. The zero value is healthy.
type Faults struct {
	// SlowFactor multiplies the time of each step; zero and one mean none. It
	// acts on running streams at once.
	SlowFactor float64 `json:"slowFactor,omitempty"`
	// Freeze stops everything: steps, answers and load reports.
	Freeze bool `json:"freeze,omitempty"`
	// Leaving refuses new work with status 503 and "X-Target-Leaving: true".
	Leaving bool `json:"leaving,omitempty"`
	// RefuseResume answers requests to resume a stream with status 404.
	RefuseResume bool `json:"refuseResume,omitempty"`

	// Match limits the faults below to prompts that contain it.
	Match string `json:"match,omitempty"`
	// Times limits the faults below to that many requests; zero means all.
	Times int `json:"times,omitempty"`
	RequestFaults
}

// requestFaults returns the faults that act on a request with the prompt and
// counts it.
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
