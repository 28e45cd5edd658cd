package routing

import (
	"slices"
	"time"
)

// NotExcluded excludes the targets in Work.ExcludedTargets, which the request
// failed to reach before.
type NotExcluded struct{}

// Allows implements Filter.
func (NotExcluded) Allows(_ time.Time, w *Work, t *Target) bool {
	return len(w.ExcludedTargets) == 0 || !slices.Contains(w.ExcludedTargets, t.Name)
}
