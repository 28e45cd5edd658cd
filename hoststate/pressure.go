package hoststate

import (
	"sync/atomic"
	"time"

	"github.com/cornelyard/cornelyard/schedule"
)

// pressureLifetime is how long pressure counts as high after a state with waiting requests.
const pressureLifetime = 2 * time.Second

// Pressure records whether requests have waited for capacity lately, at this host or at one that
// sends it states. Then the states of other hosts decide which requests run, and must be newer
// than otherwise. It is safe for concurrent use.
type Pressure struct {
	// until is in Unix nanoseconds.
	until atomic.Int64
}

// Record records a state of this host or of another one.
func (p *Pressure) Record(now time.Time, s *schedule.State) {
	if len(s.Backlogs) > 0 {
		p.until.Store(now.Add(pressureLifetime).UnixNano())
	}
}

// High reports whether requests have waited lately.
func (p *Pressure) High(now time.Time) bool { return now.UnixNano() < p.until.Load() }
