package schedule_test

import (
	"testing"
	"time"

	"github.com/cornelyard/cornelyard/internal/loadmodel"
)

// fleetCredit simulates a burst at a data centre of many hosts with the given intervals
// between their states, and returns the mean credit.
func fleetCredit(near, far time.Duration) float64 {
	const seeds = 4
	sum := 0.0
	for seed := range uint64(seeds) {
		setup := loadmodel.FleetPool(seed)
		setup.MinPeerStateInterval, setup.FarPeerStateInterval = near, far
		setup.Bursts = []loadmodel.Burst{{From: 2 * time.Second, To: 4 * time.Second, Factor: 1.3}}
		sum += loadmodel.Run(setup).ValueRatio()
	}
	return sum / seeds
}

// Without cells, all hosts send states as seldom as hosts of different cells do.
func TestCellsEarnMoreThanOneExchangeOfAsFewMessages(t *testing.T) {
	if testing.Short() {
		t.Skip("simulates many seconds in one goroutine; runs without -short")
	}
	const farInterval = 205 * time.Millisecond
	cells, seldom := fleetCredit(8*time.Millisecond, farInterval), fleetCredit(farInterval, 0)
	t.Logf("credit %.3f with cells, %.3f without", cells, seldom)
	if cells <= seldom {
		t.Errorf("credit %.3f with cells, %.3f without; want more with them", cells, seldom)
	}
}
