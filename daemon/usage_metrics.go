package daemon

import (
	"context"
	"time"

	"github.com/uber-go/tally/v4"

	"github.com/cornelyard/cornelyard/internal/periodic"
	"github.com/cornelyard/cornelyard/metrics"
	"github.com/cornelyard/cornelyard/timeline"
	"github.com/cornelyard/cornelyard/usage"
)

// usageMetricsInterval is the interval between two updates of the metrics.
const usageMetricsInterval = 2 * time.Second

// usageMetrics exports the usage by tier and pool, and the event counts of the
// time line, as metrics.
type usageMetrics struct {
	scope      tally.Scope
	aggregator *usage.Aggregator
	ring       *timeline.Ring
	reported   map[usageGroup]usage.Counters
	recorded   uint64
	dropped    uint64
}

func newUsageMetrics(scope tally.Scope, aggregator *usage.Aggregator, ring *timeline.Ring) *usageMetrics {
	return &usageMetrics{
		scope: scope, aggregator: aggregator, ring: ring, reported: make(map[usageGroup]usage.Counters),
	}
}

// run updates the metrics until ctx ends.
func (m *usageMetrics) run(ctx context.Context) error {
	return periodic.Run(ctx, usageMetricsInterval, m.update)
}

func (m *usageMetrics) update(now time.Time) {
	sums := make(map[usageGroup]usage.Counters)
	for _, row := range m.aggregator.Report(now).Rows {
		group := usageGroup{tier: row.Tier, pool: row.Pool}
		sum := sums[group]
		sum.Add(row.Counters)
		sums[group] = sum
	}
	for group, sum := range sums {
		m.report(group, sum, m.reported[group])
	}
	m.reported = sums
	recorded, dropped := m.ring.Recorded(), m.ring.Dropped()
	m.scope.Counter(metrics.TimelineEvents).Inc(int64(recorded - m.recorded))
	m.scope.Counter(metrics.TimelineDrops).Inc(int64(dropped - m.dropped))
	m.recorded, m.dropped = recorded, dropped
}

func (m *usageMetrics) report(group usageGroup, sum, previous usage.Counters) {
	scope := m.scope.Tagged(map[string]string{
		metrics.TagTier: string(group.tier),
		metrics.TagPool: string(group.pool),
	})
	scope.Counter(metrics.RequestsCompleted).Inc(int64(sum.ServedInTime - previous.ServedInTime))
	scope.Counter(metrics.RequestsLate).Inc(int64(sum.Served - sum.ServedInTime - previous.Served + previous.ServedInTime))
	scope.Counter(metrics.RequestsShed).Inc(int64(sum.Shed - previous.Shed))
	scope.Counter(metrics.PrefillTokens).Inc(int64(sum.PromptTokens - previous.PromptTokens))
	scope.Counter(metrics.WastedPrefillTokens).Inc(int64(sum.WastedPrefill - previous.WastedPrefill))
}
