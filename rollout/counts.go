package rollout

// Counts is the evidence about one route on the targets of one side.
type Counts struct {
	// Dispatched is the number of requests that were sent to a target.
	Dispatched int
	// Successes and Failures are the numbers of runs that ended with a complete response,
	// and with a failure of the target. A run that says nothing about its target counts as
	// neither.
	Successes int
	Failures  int
	// FirstEvents holds the times to the first event of a stream, or to the response of a
	// plain service, and Intervals the mean times between the events of each stream.
	FirstEvents Durations
	Intervals   Durations
}

// Add adds the counts of other.
func (c *Counts) Add(other Counts) {
	c.Dispatched += other.Dispatched
	c.Successes += other.Successes
	c.Failures += other.Failures
	c.FirstEvents.Add(other.FirstEvents)
	c.Intervals.Add(other.Intervals)
}
