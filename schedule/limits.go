package schedule

import (
	"time"

	"github.com/cornelyard/cornelyard/route"
	"github.com/cornelyard/cornelyard/targetlimit"
)

// RecordLimit records what a response of a target said about the target's limit. It reports
// whether the statement in force has changed.
func (s *Scheduler) RecordLimit(now time.Time, from route.Target, statement targetlimit.Statement) (changed bool) {
	t := s.targets[from.Name]
	if t == nil {
		return false
	}
	before := t.limit.InForce()
	changed = t.limit.Merge(targetlimit.Observation{Statement: statement, Process: from.StartUnixMs, At: now})
	s.recordLimitChange(t, before)
	return changed
}
