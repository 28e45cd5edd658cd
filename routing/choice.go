package routing

// Choice is the outcome of ranking the targets for one piece of work.
type Choice struct {
	// Free is the best target with a free slot, or nil.
	Free *Target
	// FreeScore is the score of Free.
	FreeScore float64
	// Busy is the best target without a free slot, or nil.
	Busy *Target
	// BusyScore is the score of Busy, with the wait for a slot.
	BusyScore float64
}

// waitGain is how much better than the free target a busy one must be to be
// waited for, as a ratio of predicted times.
const waitGain = 1.25

// ShouldWait says that a busy target's next slot finishes the work clearly
// earlier than the free target.
func (c Choice) ShouldWait() bool {
	if c.Busy == nil {
		return false
	}
	return c.Free == nil || c.BusyScore*waitGain < c.FreeScore
}
