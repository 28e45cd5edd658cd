package gateway

import (
	"context"
	"time"

	"github.com/cornelyard/cornelyard/internal/periodic"
	"github.com/cornelyard/cornelyard/metrics"
)

// gaugeInterval is the time between two readings of the gauges.
const gaugeInterval = time.Second

// keepGauges reads the present state into the metrics until ctx ends.
func (g *Gateway) keepGauges(ctx context.Context) error {
	return periodic.Run(ctx, gaugeInterval, g.readGauges)
}

func (g *Gateway) readGauges(now time.Time) {
	k, scope := g.knowledge, g.metrics.Scope
	scope.Gauge(metrics.GatewayInFlight).Update(float64(g.relay.InFlight()))
	scope.Gauge(metrics.GatewayPeersAlive).Update(float64(k.peers.heard(now)))
	scope.Gauge(metrics.GatewayTeamsBusy).Update(float64(len(k.quotas.BusyTeams(now))))
	scope.Gauge(metrics.GatewayLogLinesDropped).Update(float64(g.logs.Dropped()))
	if table := k.table.Load(); table != nil {
		scope.Gauge(metrics.GatewayTableVersion).Update(float64(table.Version))
	}
	scope.Gauge(metrics.GatewayTableAge).Update(k.tableConfirmed.age(now))
	scope.Gauge(metrics.GatewayRosterAge).Update(k.rosterConfirmed.age(now))
	for _, load := range k.dispatcher.PoolLoads(now) {
		pool := scope.Tagged(map[string]string{metrics.TagPool: string(load.Pool)})
		pool.Gauge(metrics.GatewayQueued).Update(float64(load.Queued))
		pool.Gauge(metrics.GatewayRunning).Update(float64(load.Running))
		pool.Gauge(metrics.GatewayTargets).Update(float64(load.Targets))
		pool.Gauge(metrics.GatewayTargetsUsable).Update(float64(load.Usable))
		pool.Gauge(metrics.GatewaySlotsFree).Update(float64(load.Free))
	}
	for pool, left := range k.retries.Remaining(now) {
		tags := map[string]string{metrics.TagPool: string(pool)}
		scope.Tagged(tags).Gauge(metrics.GatewayRetriesLeft).Update(left)
	}
}

// countStoreCall counts a call of the store.
func (g *Gateway) countStoreCall(table string, err error) {
	result := "answered"
	if err != nil {
		result = "failed"
	}
	tags := map[string]string{metrics.TagTable: table, metrics.TagResult: result}
	g.metrics.Scope.Tagged(tags).Counter(metrics.GatewayStoreCalls).Inc(1)
}
