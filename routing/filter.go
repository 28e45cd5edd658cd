package routing

import (
	"slices"
	"time"
)

// Filter decides whether work may run on a target at all, whether or not a slot
// is free now.
type Filter interface {
	Allows(now time.Time, w *Work, t *Target) bool
}

// NotDraining excludes targets that are draining.
type NotDraining struct{}

// Allows implements Filter.
func (NotDraining) Allows(_ time.Time, _ *Work, t *Target) bool { return !t.Draining }

// NotExcluded excludes the targets in Work.ExcludedTargets, which the request
// failed to reach before.
type NotExcluded struct{}

// Allows implements Filter.
func (NotExcluded) Allows(_ time.Time, w *Work, t *Target) bool {
	return len(w.ExcludedTargets) == 0 || !slices.Contains(w.ExcludedTargets, t.Name)
}

// IsolateSuspects allows at most one request that is suspected of crashing
// targets on each target.
type IsolateSuspects struct{}

// Allows implements Filter.
func (IsolateSuspects) Allows(_ time.Time, w *Work, t *Target) bool {
	return !w.Suspect || t.Suspects == 0
}
