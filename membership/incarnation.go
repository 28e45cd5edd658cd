package membership

import "time"

// NewIncarnation returns the incarnation of a process that starts now: the start time
// in Unix nanoseconds, so that a later process has a higher incarnation.
func NewIncarnation(now time.Time) uint64 {
	return uint64(now.UnixNano())
}
