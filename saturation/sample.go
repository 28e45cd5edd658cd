package saturation

import "time"

// Sample is one measurement of the delay that this host adds to each step of a request.
type Sample struct {
	// Lateness is by how much a periodic loop woke up later than it was due.
	Lateness time.Duration
	// SendTime is the longest time that it took to hand a batch of datagrams to the system since the
	// last sample. While the link's queue is full, the batch waits for it.
	SendTime time.Duration
	// InFlight is the number of requests without a final response.
	InFlight int
}

// minInFlight is the least number of requests for which the host counts as delayed by them. Fewer can't
// be relieved by refusals.
const minInFlight = 4

// delay returns the delay, or zero if there are too few requests.
func (s Sample) delay() time.Duration {
	if s.InFlight < minInFlight {
		return 0
	}
	return max(s.Lateness, s.SendTime)
}
