package routing

import (
	"slices"
	"time"
)

// Filter says whether work may run on a target, now or when a slot is free.
type Filter interface {
	Allows(now time.Time, w *Work, t *Target) bool
}

// NotLeaving allows targets that are not leaving.
type NotLeaving struct{}

// Allows implements Filter.
func (NotLeaving) Allows(_ time.Time, _ *Work, t *Target) bool { return !t.Leaving }

// NotAvoided allows targets that the work has not failed to reach.
type NotAvoided struct{}

// Allows implements Filter.
func (NotAvoided) Allows(_ time.Time, w *Work, t *Target) bool {
	return len(w.Avoid) == 0 || !slices.Contains(w.Avoid, t.Name)
}

// IsolateSuspects keeps suspects apart from each other.
type IsolateSuspects struct{}

// Allows implements Filter.
func (IsolateSuspects) Allows(_ time.Time, w *Work, t *Target) bool {
	return !w.Suspect || t.Suspects == 0
}
