package gateway

import (
	"github.com/cornelyard/cornelyard/eventlog"
	"github.com/cornelyard/cornelyard/schedule"
	"github.com/cornelyard/cornelyard/targetlimit"
)

// logLimitEvents logs each target that states, changes or ends a limit.
func (s *clusterState) logLimitEvents(events []schedule.LimitEvent) {
	for _, e := range events {
		entry := s.logger.Info().Str(eventlog.FieldTarget, string(e.Target)).Str(eventlog.FieldPool, string(e.Pool))
		if e.Before.Kind == targetlimit.Limited {
			entry = entry.Float64(eventlog.FieldLimitBefore, e.Before.PerSecond)
		}
		if e.After.Kind == targetlimit.Limited {
			entry.Str(eventlog.FieldEvent, eventlog.EventTargetLimited).Float64(eventlog.FieldLimit, e.After.PerSecond).
				Msg("Target states a limit of its requests per second.")
			continue
		}
		entry.Str(eventlog.FieldEvent, eventlog.EventTargetUnlimited).Msg("Target states no limit any longer.")
	}
}

// logRateEvents logs the targets of whose limits this host uses a part, or no longer.
func (s *clusterState) logRateEvents(events []schedule.RateEvent) {
	for _, e := range events {
		s.logger.Info().Str(eventlog.FieldEvent, eventlog.EventLimitRate).Str(eventlog.FieldTarget, string(e.Target)).
			Float64(eventlog.FieldRate, e.Rate).Float64(eventlog.FieldLimit, e.PerSecond).
			Int(eventlog.FieldConnectedHosts, e.ConnectedHosts).Int(eventlog.FieldHosts, e.Hosts).
			Msg("This host's part of a target's limit changed.")
	}
}
