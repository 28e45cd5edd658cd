package gateway

import (
	"github.com/cornelyard/cornelyard/eventlog"
	"github.com/cornelyard/cornelyard/schedule"
)

// logMemoryEvents logs that requests wait for the memory of targets.
func (s *clusterState) logMemoryEvents(events []schedule.MemoryEvent) {
	for _, e := range events {
		s.logger.Info().Str(eventlog.FieldEvent, eventlog.EventMemoryScarce).Str(eventlog.FieldPool, string(e.Pool)).
			Int(eventlog.FieldTokens, e.Tokens).Int(eventlog.FieldLeft, e.Left).Int(eventlog.FieldWaits, e.Waits).
			Msg("Requests wait for the memory of targets that have free slots.")
	}
}
