package admission

import (
	"testing"
	"time"

	"github.com/cornelyard/cornelyard/settings"
)

// TestSimulatedPolicies compares the predictive policy with the baselines in
// simulation.
func TestSimulatedPolicies(t *testing.T) {
	run := func(policy settings.Policy, offered float64) simTotals {
		total := runSimulation(policy, simLoad{
			seed: 1, offeredLoad: offered, duration: time.Minute, tierShares: []float64{0.25, 0.25, 0.25, 0.25},
		}, nil).totals()
		t.Logf("%.1f %-20s %+v", offered, policy, total)
		return total
	}
	bestGood, leastWaste := 0, 1.0
	for _, policy := range allPolicies[:3] {
		total := run(policy, 2)
		bestGood = max(bestGood, total.good)
		leastWaste = min(leastWaste, total.wastedFraction())
	}
	predictive := run(settings.PolicyPredictive, 2)
	if predictive.topTierGood < 0.99 {
		t.Errorf("%.3f of the top tier completed in time, want at least 0.99", predictive.topTierGood)
	}
	if float64(predictive.good) < 1.2*float64(bestGood) {
		t.Errorf("%d requests completed in time, want 1.2 times the %d of the best baseline", predictive.good, bestGood)
	}
	if predictive.wastedFraction() > 0.3*leastWaste {
		t.Errorf("wasted fraction of the prefill is %.3f, want at most 0.3 times the %.3f of the best baseline", predictive.wastedFraction(), leastWaste)
	}
	if lightLoad, roundRobin := run(settings.PolicyPredictive, 0.7), run(settings.PolicyRoundRobin, 0.7); lightLoad.p99 > 0.8*roundRobin.p99 {
		t.Errorf("99th percentile of the finish time is %.2f s, want at most 0.8 times round robin's %.2f s", lightLoad.p99, roundRobin.p99)
	}
}

// TestSimulatedSlowEngine checks that an engine that becomes ten times slower
// in mid-run costs little more than one that starts to drain at that moment.
func TestSimulatedSlowEngine(t *testing.T) {
	load := simLoad{seed: 1, offeredLoad: 0.7, duration: time.Minute, tierShares: []float64{0.25, 0.25, 0.25, 0.25}}
	run := func(change func(sim *simulation)) int {
		return runSimulation(settings.PolicyPredictive, load, func(sim *simulation) {
			sim.schedule(load.duration/2, func() { change(sim) })
		}).totals().good
	}
	slowed := run(func(sim *simulation) { sim.engines["engine-002"].slowFactor = 10 })
	absent := run(func(sim *simulation) {
		config := testConfig(6, simSlots)
		config.Pool.Policy = settings.PolicyPredictive
		config.Pool.MaxQueue = 10_000
		config.Targets[2].Leaving = true
		sim.scheduler.Configure(sim.now, config)
	})
	if float64(slowed) < 0.9*float64(absent) {
		t.Errorf("%d requests completed in time with a slow engine, want at least 0.9 times the %d without that engine", slowed, absent)
	}
}
