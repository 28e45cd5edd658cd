package admission

import (
	"testing"
	"time"

	"github.com/cornelyard/cornelyard/settings"
)

// TestModelPolicies compares the policies in the model's virtual time.
func TestModelPolicies(t *testing.T) {
	run := func(policy settings.Policy, offered float64) modelTotals {
		total := modelRun(policy, modelLoad{
			seed: 1, offered: offered, duration: time.Minute, tierParts: []float64{0.25, 0.25, 0.25, 0.25},
		}, nil).totals()
		t.Logf("%.1f %-20s %+v", offered, policy, total)
		return total
	}
	bestGood, leastWaste := 0, 1.0
	for _, policy := range modelPolicies[:3] {
		total := run(policy, 2)
		bestGood = max(bestGood, total.good)
		leastWaste = min(leastWaste, total.wastedPart())
	}
	own := run(settings.PolicyPredictive, 2)
	if own.top < 0.99 {
		t.Errorf("good part of the top tier is %.3f", own.top)
	}
	if float64(own.good) < 1.2*float64(bestGood) {
		t.Errorf("%d good answers, best baseline %d", own.good, bestGood)
	}
	if own.wastedPart() > 0.3*leastWaste {
		t.Errorf("wasted part of the prefill is %.3f, best baseline %.3f", own.wastedPart(), leastWaste)
	}
	if light, roundRobin := run(settings.PolicyPredictive, 0.7), run(settings.PolicyRoundRobin, 0.7); light.p99 > 0.8*roundRobin.p99 {
		t.Errorf("99th percentile of the finish is %.2f s, round robin's %.2f s", light.p99, roundRobin.p99)
	}
}

// TestModelSlowedEngine compares an engine that is slowed tenfold in mid-run with
// one that leaves at that moment.
func TestModelSlowedEngine(t *testing.T) {
	load := modelLoad{seed: 1, offered: 0.7, duration: time.Minute, tierParts: []float64{0.25, 0.25, 0.25, 0.25}}
	run := func(change func(m *model)) int {
		return modelRun(settings.PolicyPredictive, load, func(m *model) {
			m.after(load.duration/2, func() { change(m) })
		}).totals().good
	}
	slowed := run(func(m *model) { m.engines["engine-002"].slow = 10 })
	absent := run(func(m *model) {
		config := testConfig(6, modelSlots)
		config.Pool.Policy = settings.PolicyPredictive
		config.Pool.MaxQueue = 10_000
		config.Targets[2].Leaving = true
		m.scheduler.Configure(m.now, config)
	})
	if float64(slowed) < 0.9*float64(absent) {
		t.Errorf("%d good answers with a slowed engine, %d without it", slowed, absent)
	}
}
