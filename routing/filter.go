package routing

import (
	"slices"
	"time"
)

// Filter says whether work may run on a target, now or when a slot is free.
type Filter interface {
	Allows(now time.Time, w *Work, t *Target) bool
}

// Staying allows targets that are not leaving.
type Staying struct{}

// Allows implements Filter.
func (Staying) Allows(_ time.Time, _ *Work, t *Target) bool { return !t.Leaving }

// NotAvoided allows targets that the work has not failed to reach.
type NotAvoided struct{}

// Allows implements Filter.
func (NotAvoided) Allows(_ time.Time, w *Work, t *Target) bool {
	return len(w.Avoid) == 0 || !slices.Contains(w.Avoid, t.Name)
}

// Isolated keeps suspects apart from each other.
type Isolated struct{}

// Allows implements Filter.
func (Isolated) Allows(_ time.Time, w *Work, t *Target) bool {
	return !w.Suspect || t.Suspects == 0
}
