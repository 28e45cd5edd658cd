package routing

import "time"

// Filter decides whether work may run on a target at all, whether or not a slot
// is free now.
type Filter interface {
	Allows(now time.Time, w *Work, t *Target) bool
}
