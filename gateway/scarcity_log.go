package gateway

import (
	"github.com/cornelyard/cornelyard/eventlog"
	"github.com/cornelyard/cornelyard/schedule"
)

// logScarcityEvents logs each pool whose capacity becomes scarce, or no longer is.
func (s *clusterState) logScarcityEvents(events []schedule.ScarcityEvent) {
	for _, e := range events {
		entry := s.logger.Info().Str(eventlog.FieldPool, string(e.Pool)).Int(eventlog.FieldQueued, e.Queued)
		if e.Scarce {
			entry.Str(eventlog.FieldEvent, eventlog.EventCapacityScarce).Bool(eventlog.FieldLocal, e.Local).
				Msg("Capacity of a pool is scarce and is shared among teams.")
			continue
		}
		entry.Str(eventlog.FieldEvent, eventlog.EventCapacitySufficient).Msg("Capacity of a pool is no longer scarce.")
	}
}

// boolGauge returns 1 if set, else 0.
func boolGauge(set bool) float64 {
	if set {
		return 1
	}
	return 0
}
