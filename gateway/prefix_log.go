package gateway

import (
	"github.com/cornelyard/cornelyard/eventlog"
	"github.com/cornelyard/cornelyard/metrics"
	"github.com/cornelyard/cornelyard/schedule"
	"github.com/uber-go/tally/v4"
)

// logPrefixEvents logs wrong predictions of what targets have cached.
func (s *clusterState) logPrefixEvents(events []schedule.PrefixEvent) {
	for _, e := range events {
		s.logger.Info().Str(eventlog.FieldEvent, eventlog.EventPrefixMissed).Str(eventlog.FieldTarget, string(e.Target)).
			Str(eventlog.FieldPool, string(e.Pool)).Int(eventlog.FieldTokens, e.Tokens).
			Int64(eventlog.FieldFirstEventMs, e.FirstEvent.Milliseconds()).Float64(eventlog.FieldTrust, e.Trust).
			Int(eventlog.FieldWrong, e.Wrong).
			Msg("Target did not have cached the beginning of a prompt that it was predicted to have.")
	}
}

// updatePrefixGauges reports the tokens of prompts that were predicted to be cached in a pool.
func updatePrefixGauges(pool tally.Scope, counts schedule.PrefixCounts) {
	pool.Gauge(metrics.GatewayPrefixPredicted).Update(float64(counts.Predicted))
	pool.Gauge(metrics.GatewayPrefixConfirmed).Update(float64(counts.Confirmed))
	pool.Gauge(metrics.GatewayPrefixRefuted).Update(float64(counts.Refuted))
	pool.Gauge(metrics.GatewayPrefixEvicted).Update(float64(counts.Evicted))
}
