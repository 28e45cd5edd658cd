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
	Health    *Health
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
	// Promised counts the requests that wait for a slot here in this decision.
	Promised int
	// Turn is when the target was chosen last, as a count of choices.
	Turn uint64

	prefixes  prefixMemory
	occupancy occupancy
}

// Enter takes in that one more request is in service.
func (t *Target) Enter(now time.Time) {
	t.InService++
	t.noteInService(now)
}

// Leave takes in that one request less is in service.
func (t *Target) Leave(now time.Time) {
	t.Load.NoteInService(now, t.InService)
	t.InService--
	t.noteInService(now)
}

func (t *Target) noteInService(now time.Time) {
	t.Load.NoteInService(now, t.InService)
	t.occupancy.change(now, t.InService)
}

// Slots returns the number of slots that may be used now.
func (t *Target) Slots(now time.Time) int {
	if t.Leaving {
		return 0
	}
	return t.Health.Slots(now, t.Limit.Slots())
}

// FreeSlots returns the number of slots that may be granted now.
func (t *Target) FreeSlots(now time.Time) int {
	slots := t.Slots(now)
	if slots <= t.InService {
		return 0
	}
	return max(0, slots-t.InService-t.Load.Foreign(now))
}

// Wait predicts the time until a slot is free that nobody was promised.
func (t *Target) Wait(now time.Time) time.Duration {
	if t.FreeSlots(now) > t.Promised {
		return 0
	}
	if t.Health.Failing() && now.Before(t.Health.Retry()) {
		return t.Health.Retry().Sub(now)
	}
	ends := max(1, t.InService-t.Slots(now)+1) + t.Promised
	return time.Duration(ends) * max(minWait, t.NextFree.Sub(now))
}

// minWait is the least predicted wait for a slot in use.
const minWait = 5 * time.Millisecond
