package schedule

import (
	"github.com/cornelyard/cornelyard/ident"
	"github.com/cornelyard/cornelyard/targetlimit"
)

// LimitEvent is a change of the limit that a target states.
type LimitEvent struct {
	Target ident.Target
	Pool   ident.Pool
	// Before and After are the statements in force.
	Before targetlimit.Statement
	After  targetlimit.Statement
}

// TakeLimitEvents returns the events since the last call.
func (s *Scheduler) TakeLimitEvents() []LimitEvent {
	events := s.limitEvents
	s.limitEvents = nil
	return events
}
