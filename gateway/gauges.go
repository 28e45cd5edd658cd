package gateway

import (
	"context"
	"time"

	"github.com/cornelyard/cornelyard/freshness"
	"github.com/cornelyard/cornelyard/internal/periodic"
	"github.com/cornelyard/cornelyard/metrics"
	"github.com/cornelyard/cornelyard/storewatch"
)

// gaugeInterval is the time between two updates of the gauges.
const gaugeInterval = time.Second

// reportGauges updates the gauges periodically until ctx is done.
func (g *Gateway) reportGauges(ctx context.Context) error {
	return periodic.Run(ctx, gaugeInterval, g.updateGauges)
}

func (g *Gateway) updateGauges(now time.Time) {
	state, scope := g.state, g.metrics.Scope
	scope.Gauge(metrics.GatewayInFlight).Update(float64(g.relay.InFlight()))
	scope.Gauge(metrics.GatewayPeersActive).Update(float64(state.peers.active(now)))
	scope.Gauge(metrics.GatewayTeamsBusy).Update(float64(len(state.quotas.BusyTeams(now))))
	scope.Gauge(metrics.GatewayStoreReturns).Update(float64(state.storeReturns.Load()))
	scope.Gauge(metrics.GatewayLogLinesDropped).Update(float64(g.logs.Dropped()))
	if table := state.table.Load(); table != nil {
		scope.Gauge(metrics.GatewayTableVersion).Update(float64(table.Version))
		scope.Gauge(metrics.GatewayTableOutdated).Update(boolGauge(state.tableCurrency(now).Outdated))
	}
	scope.Gauge(metrics.GatewayTableAge).Update(state.freshness.Age(now, freshness.Configuration).Seconds())
	scope.Gauge(metrics.GatewayRosterAge).Update(state.freshness.Age(now, freshness.Targets).Seconds())
	for _, load := range state.dispatcher.PoolLoads(now) {
		pool := scope.Tagged(map[string]string{metrics.TagPool: string(load.Pool)})
		pool.Gauge(metrics.GatewayQueued).Update(float64(load.Queued))
		pool.Gauge(metrics.GatewayRunning).Update(float64(load.Running))
		pool.Gauge(metrics.GatewayTargets).Update(float64(load.Targets))
		pool.Gauge(metrics.GatewayTargetsUsable).Update(float64(load.Usable))
		pool.Gauge(metrics.GatewayTargetsLimited).Update(float64(load.Limited))
		pool.Gauge(metrics.GatewayLimitRate).Update(load.LimitRate)
		pool.Gauge(metrics.GatewayMachinesKnown).Update(float64(load.MachinesKnown))
		pool.Gauge(metrics.GatewayMachinesSlow).Update(float64(load.MachinesSlow))
		pool.Gauge(metrics.GatewayScarce).Update(boolGauge(load.Scarce))
		pool.Gauge(metrics.GatewayGrantedShare).Update(load.GrantedShare)
		pool.Gauge(metrics.GatewaySlotsFree).Update(float64(load.Free))
		updatePrefixGauges(pool, load.Prefixes)
		pool.Gauge(metrics.GatewayMemoryWaits).Update(float64(load.MemoryWaits))
	}
	g.traffic.update(now, scope, state.exchange)
	g.saturation.update(scope)
	g.distances.update(scope, state.dispatcher.Distances(now))
	g.updateRolloutGauges()
	for _, monitor := range g.buffers {
		monitor.update(scope)
	}
	for pool, left := range state.retryBudget.Remaining(now) {
		tags := map[string]string{metrics.TagPool: string(pool)}
		scope.Tagged(tags).Gauge(metrics.GatewayRetriesLeft).Update(left)
	}
}

// countStoreCall counts a call to the store by kind, table and result.
func (g *Gateway) countStoreCall(call storewatch.Call) {
	result := "answered"
	if call.Err != nil {
		result = "failed"
	}
	tags := map[string]string{metrics.TagKind: string(call.Kind), metrics.TagTable: call.Table, metrics.TagResult: result}
	g.metrics.Scope.Tagged(tags).Counter(metrics.GatewayStoreCalls).Inc(1)
}
