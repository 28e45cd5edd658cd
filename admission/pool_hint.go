package admission

import (
	"time"

	"github.com/cornelyard/cornelyard/ident"
)

// PoolHint summarises the same pool in another data centre.
type PoolHint struct {
	DataCentre ident.DataCentre
	// FreeSlots is the number of free slots when the hint was made.
	FreeSlots int
	// LowestRank is the rank of the lowest tier that is queued or running
	// there, or -1 if there is none.
	LowestRank int
	// Wait is the predicted wait of a new request of the highest tier.
	Wait time.Duration
	// OneWayDelay is the additional network delay to that data centre.
	OneWayDelay time.Duration
	// At is when the hint was received, in the owner's clock.
	At time.Time
}
