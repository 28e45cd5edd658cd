package routing

import "time"

// NotDraining excludes targets that are draining.
type NotDraining struct{}

// Allows implements Filter.
func (NotDraining) Allows(_ time.Time, _ *Work, t *Target) bool { return !t.Draining }
