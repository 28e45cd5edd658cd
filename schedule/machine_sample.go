package schedule

import "time"

// machineSample accumulates the state of a machine over the events of a stream.
type machineSample struct {
	events    int
	factor    float64
	certainty float64
}

// add adds the state at the arrival of events.
func (m *machineSample) add(now time.Time, state machineState, events int) {
	m.events += events
	m.factor += float64(events) * state.expected(now)
	m.certainty += float64(events) * state.certainty(now)
}

// means returns the mean expected time of work, relative to the usual time, and its mean
// certainty.
func (m *machineSample) means() (factor, certainty float64) {
	if m.events == 0 {
		return 1, 0
	}
	return m.factor / float64(m.events), m.certainty / float64(m.events)
}
