package routing

import (
	"time"

	"github.com/cornelyard/cornelyard/ident"
)

// Target is the routing state of one target. The scheduler maintains the counts.
type Target struct {
	Name ident.Target
	// Draining excludes the target from selection.
	Draining  bool
	Estimator *Estimator
	Limit     *SlotLimit
	Breaker   *CircuitBreaker
	Load      LoadHint
	// RunningRequests counts the requests that hold a slot.
	RunningRequests int
	// PendingPrefill is the number of prompt tokens of running requests whose
	// prefill has not finished.
	PendingPrefill int
	// Suspects counts the running requests that are suspected of crashing
	// targets.
	Suspects int
	// NextFree is the time at which the next running request is expected to
	// end; zero if none is running.
	NextFree time.Time
	// Reserved counts the requests that were assigned to wait for a slot here in
	// the current scheduling pass.
	Reserved int
	// LastChosen is the router's selection number when it last chose the target.
	LastChosen uint64

	prefixes  targetPrefixes
	occupancy occupancy
}

// RecordStart records that a request entered service.
func (t *Target) RecordStart(now time.Time) {
	t.RunningRequests++
	t.recordRunning(now)
}

// RecordEnd records that a request left service.
func (t *Target) RecordEnd(now time.Time) {
	t.Load.RecordRunning(now, t.RunningRequests)
	t.RunningRequests--
	t.recordRunning(now)
}

func (t *Target) recordRunning(now time.Time) {
	t.Load.RecordRunning(now, t.RunningRequests)
	t.occupancy.record(now, t.RunningRequests)
}

// Slots returns the number of usable slots, whether free or in use.
func (t *Target) Slots(now time.Time) int {
	if t.Draining {
		return 0
	}
	return t.Breaker.Slots(now, t.Limit.Slots())
}

// FreeSlots returns the number of slots that can be granted now.
func (t *Target) FreeSlots(now time.Time) int {
	slots := t.Slots(now)
	if slots <= t.RunningRequests {
		return 0
	}
	return max(0, slots-t.RunningRequests-t.Load.ExternalRequests(now))
}

// PredictWait predicts the time until a slot is free that is not reserved.
func (t *Target) PredictWait(now time.Time) time.Duration {
	if t.FreeSlots(now) > t.Reserved {
		return 0
	}
	if t.Breaker.Tripped() && now.Before(t.Breaker.NextProbe()) {
		return t.Breaker.NextProbe().Sub(now)
	}
	ends := max(1, t.RunningRequests-t.Slots(now)+1) + t.Reserved
	return time.Duration(ends) * max(minPredictedWait, t.NextFree.Sub(now))
}

// minPredictedWait is the shortest predicted wait for a slot that is in use.
const minPredictedWait = 5 * time.Millisecond
