package gateway

import (
	"time"

	"github.com/cornelyard/cornelyard/eventlog"
	"github.com/cornelyard/cornelyard/route"
	"github.com/cornelyard/cornelyard/schedule"
)

// logTargetChanges logs each target that was added, removed or changed.
func (s *clusterState) logTargetChanges(previous *route.TargetSnapshot) {
	if previous == nil {
		previous = &route.TargetSnapshot{}
	}
	for name, t := range s.targets.Targets {
		if old, known := previous.Targets[name]; !known || old != t {
			s.logTarget(t, targetState(t))
		}
	}
	for name, t := range previous.Targets {
		if _, present := s.targets.Targets[name]; !present {
			s.logTarget(t, "gone")
		}
	}
}

func targetState(t route.Target) string {
	if t.Draining {
		return "leaving"
	}
	return "ready"
}

func (s *clusterState) logTarget(t route.Target, state string) {
	s.logger.Info().Str(eventlog.FieldEvent, eventlog.EventTargetChanged).
		Str(eventlog.FieldTarget, string(t.Name)).
		Str(eventlog.FieldPool, string(t.Pool)).
		Str(eventlog.FieldVersion, t.Version).
		Str("address", t.Address).Str("state", state).Msg("Target changed.")
}

// logHealthEvents logs each target that was ejected or restored.
func (s *clusterState) logHealthEvents(events []schedule.HealthEvent) {
	for _, e := range events {
		event, message := eventlog.EventTargetRestored, "Target was restored after its ejection."
		if e.Ejected {
			event, message = eventlog.EventTargetEjected, "Target was ejected."
		}
		s.logger.Info().Str(eventlog.FieldEvent, event).
			Str(eventlog.FieldTarget, string(e.Target)).
			Str(eventlog.FieldPool, string(e.Pool)).
			Str(eventlog.FieldCause, e.Cause).
			Int64(eventlog.FieldUntilMs, max(0, time.Until(e.Until).Milliseconds())).Msg(message)
	}
}
