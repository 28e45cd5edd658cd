package quota

import "time"

// sourceState is what is known about a source.
type sourceState struct {
	// hosts is the number of hosts whose usage it covers.
	hosts        int
	lastReportAt time.Time
	// limitedUntil is one window after the end of a long silence.
	limitedUntil time.Time
	// stale says that its reports were missing when that was last determined.
	stale bool
}
