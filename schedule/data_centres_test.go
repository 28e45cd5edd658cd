package schedule_test

import (
	"testing"
	"time"

	"github.com/cornelyard/cornelyard/internal/loadmodel"
)

// runMultiDataCentreBurst simulates a burst over four data centres, which exchange
// aggregate states at the given interval, or not at all if it is zero.
func runMultiDataCentreBurst(seed uint64, factor float64, interval time.Duration) loadmodel.Report {
	setup := loadmodel.LargeDraftingPool(seed)
	setup.AggregateInterval = interval
	setup.Length = 6 * time.Second
	setup.Bursts = []loadmodel.Burst{{From: 2 * time.Second, To: 4 * time.Second, Factor: factor}}
	return loadmodel.Run(setup)
}

// TestAggregateStatesImproveCredit checks that hosts which receive the aggregate states
// of the other data centres earn more credit than hosts which know nothing of them.
func TestAggregateStatesImproveCredit(t *testing.T) {
	const factor = 1.5
	withAggregates, without := runMultiDataCentreBurst(1, factor, 50*time.Millisecond), runMultiDataCentreBurst(1, factor, 0)
	if withAggregates.ValueRatio() <= without.ValueRatio() {
		t.Errorf("credit %.3f with aggregate states, %.3f without; want more with them", withAggregates.ValueRatio(), without.ValueRatio())
	}
}

// TestManyHostsServeNearlyAsMuchAsFew simulates the same burst on the same targets with
// few hosts and with many, which all send each change at once. Spreading the callers
// over more hosts must cost little credit.
func TestManyHostsServeNearlyAsMuchAsFew(t *testing.T) {
	if testing.Short() {
		t.Skip("simulates many seconds in one goroutine; runs without -short")
	}
	const (
		minRatio = 0.9
		seeds    = 4
	)
	credit := func(hosts int) float64 {
		sum := 0.0
		for seed := range uint64(seeds) {
			setup := loadmodel.LargeDraftingPool(seed)
			setup.Hosts, setup.DataCentres, setup.MinPeerStateInterval = hosts, 1, 0
			setup.Length = 5 * time.Second
			setup.Bursts = []loadmodel.Burst{{From: time.Second, To: 4 * time.Second, Factor: 1.6}}
			sum += loadmodel.Run(setup).ValueRatio()
		}
		return sum / seeds
	}
	few, many := credit(6), credit(40)
	if many < minRatio*few {
		t.Errorf("credit %.3f with 40 hosts, %.3f with 6", many, few)
	}
}
