package gateway

import (
	"github.com/cornelyard/cornelyard/eventlog"
	"github.com/cornelyard/cornelyard/schedule"
)

// logMachineEvents logs each process of a target that states how long work takes on its machine.
func (s *clusterState) logMachineEvents(events []schedule.MachineEvent) {
	for _, e := range events {
		s.logger.Info().Str(eventlog.FieldEvent, eventlog.EventMachineState).Str(eventlog.FieldTarget, string(e.Target)).
			Str(eventlog.FieldPool, string(e.Pool)).Int(eventlog.FieldPercent, e.Percent).
			Msg("Target states how long work takes on its machine.")
	}
}
