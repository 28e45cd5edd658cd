package routing

import (
	"time"

	"github.com/cornelyard/cornelyard/ident"
)

// Target is what routing knows of one target. The scheduler keeps the counts.
type Target struct {
	Name ident.Target
	// Leaving takes the target out of the choice.
	Leaving   bool
	Estimator *Estimator
	Limit     *SlotLimit
	Breaker   *CircuitBreaker
	Load      LoadHint
	// InService counts the requests that hold a slot.
	InService int
	// PendingPrefill is the number of prompt tokens in service whose computation
	// has not ended.
	PendingPrefill int
	// Suspects counts the requests in service that may crash the target.
	Suspects int
	// NextFree is when the next request in service is expected to end; zero if
	// none is in service.
	NextFree time.Time
	// Reserved counts the requests that wait for a slot here in this decision.
	Reserved int
	// LastChosen is when the target was chosen last, as a count of choices.
	LastChosen uint64

	prefixes  prefixMemory
	occupancy occupancy
}

// RecordStart takes in that one more request is in service.
func (t *Target) RecordStart(now time.Time) {
	t.InService++
	t.noteInService(now)
}

// RecordEnd takes in that one request less is in service.
func (t *Target) RecordEnd(now time.Time) {
	t.Load.RecordInService(now, t.InService)
	t.InService--
	t.noteInService(now)
}

func (t *Target) noteInService(now time.Time) {
	t.Load.RecordInService(now, t.InService)
	t.occupancy.change(now, t.InService)
}

// Slots returns the number of slots that may be used now.
func (t *Target) Slots(now time.Time) int {
	if t.Leaving {
		return 0
	}
	return t.Breaker.Slots(now, t.Limit.Slots())
}

// FreeSlots returns the number of slots that may be granted now.
func (t *Target) FreeSlots(now time.Time) int {
	slots := t.Slots(now)
	if slots <= t.InService {
		return 0
	}
	return max(0, slots-t.InService-t.Load.ExternalRequests(now))
}

// PredictWait predicts the time until a slot is free that nobody was promised.
func (t *Target) PredictWait(now time.Time) time.Duration {
	if t.FreeSlots(now) > t.Reserved {
		return 0
	}
	if t.Breaker.Tripped() && now.Before(t.Breaker.NextProbe()) {
		return t.Breaker.NextProbe().Sub(now)
	}
	ends := max(1, t.InService-t.Slots(now)+1) + t.Reserved
	return time.Duration(ends) * max(minWait, t.NextFree.Sub(now))
}

// minWait is the least predicted wait for a slot in use.
const minWait = 5 * time.Millisecond
