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

// recordLimitChange adds an event if the target's statement in force is no longer the given
// one.
func (s *Scheduler) recordLimitChange(t *target, before targetlimit.Statement) {
	if after := t.limit.InForce(); after != before {
		s.limitEvents = append(s.limitEvents, LimitEvent{Target: t.Name, Pool: t.Pool, Before: before, After: after})
	}
}
