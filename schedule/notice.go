package schedule

import (
	"time"

	"github.com/cornelyard/cornelyard/ident"
)

// HealthEvent is a change of what this host believes of a target.
type HealthEvent struct {
	Target ident.Target
	Pool   ident.Pool
	// Ejected says that the target gets no requests but probes; otherwise it is back.
	Ejected bool
	// Until is the end of the rest.
	Until time.Time
	// Cause is what made it rest.
	Cause string
}

// Causes of rests that are no result of an exchange.
const (
	causeSilence = "silence"
	causeOutlier = "outlier"
)

// TakeHealthEvents returns the changes since the last call.
func (s *Scheduler) TakeHealthEvents() []HealthEvent {
	notices := s.healthEvents
	s.healthEvents = nil
	return notices
}

// recordHealthChange records whether a target has begun or ended a rest since it was looked at
// last.
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
