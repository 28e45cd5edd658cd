package routing

// Choice is the result of ranking the targets for one piece of work.
type Choice struct {
	// Free is the best target that has a free slot, or nil.
	Free *Target
	// FreeScore is the score of Free.
	FreeScore float64
	// Busy is the best target that has no free slot, or nil.
	Busy *Target
	// BusyScore is the score of Busy, including the wait for a slot.
	BusyScore float64
}

// minWaitSpeedup is the least ratio of FreeScore to BusyScore at which waiting
// for the busy target is worthwhile.
const minWaitSpeedup = 1.25

// ShouldWait reports whether the work finishes clearly earlier by waiting for a
// slot on the busy target than by running on the free one.
func (c Choice) ShouldWait() bool {
	if c.Busy == nil {
		return false
	}
	return c.Free == nil || c.BusyScore*minWaitSpeedup < c.FreeScore
}
