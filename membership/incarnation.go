package membership

import "time"

// NewIncarnation returns the incarnation of a process that starts now. It is
// the start time in Unix nanoseconds, so that a later process has a larger one.
func NewIncarnation(now time.Time) uint64 {
	return uint64(now.UnixNano())
}
