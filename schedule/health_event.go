package schedule

import (
	"time"

	"github.com/cornelyard/cornelyard/ident"
)

// HealthEvent is a change in the health of a target as this host sees it.
type HealthEvent struct {
	Target ident.Target
	Pool   ident.Pool
	// Ejected says that the target gets only probe requests; if false, the target is
	// back in use.
	Ejected bool
	// Until is the end of the ejection.
	Until time.Time
	// Cause is the result or condition that led to the change.
	Cause string
}

// Causes of ejections other than the result of a request.
const (
	causeUnresponsive = "silence"
	causeOutlier      = "outlier"
	causeCrash        = "crash"
	// causeReachable: this host reaches the pool again.
	causeReachable = "reachable"
)

// TakeHealthEvents returns the events since the last call.
func (s *Scheduler) TakeHealthEvents() []HealthEvent {
	events := s.healthEvents
	s.healthEvents = nil
	return events
}

// recordHealthChange adds an event if an ejection of the target has begun or ended
// since before, an earlier copy of its health.
func (s *Scheduler) recordHealthChange(t *target, before health, cause string) {
	after := &t.health
	if after.ejectedUntil == before.ejectedUntil && after.probation == before.probation {
		return
	}
	s.observationsUrgent = true
	s.healthEvents = append(s.healthEvents, HealthEvent{
		Target:  t.Name,
		Pool:    t.Pool,
		Ejected: after.probation,
		Until:   after.ejectedUntil,
		Cause:   cause,
	})
}
