package schedule_test

import (
	"testing"
	"time"

	"github.com/cornelyard/cornelyard/internal/loadmodel"
)

// TestSimulationIsDeterministic guards against decisions that depend on the order of a map: of
// targets that cost the same, or of the terms of a sum. A failure of a simulation could then not
// be repeated with its seed.
func TestSimulationIsDeterministic(t *testing.T) {
	setup := sharedPool(1)
	setup.Hosts, setup.DataCentres, setup.Length = 24, 2, 1500*time.Millisecond
	setup.FarPeerStateInterval, setup.AggregateInterval = 105*time.Millisecond, 100*time.Millisecond
	setup.Classes[0].Output, setup.Classes[0].OutputSpread = 20, 1
	want := loadmodel.Run(setup)
	for range 2 {
		got := loadmodel.Run(setup)
		for name, o := range want.Classes {
			if *got.Classes[name] != *o {
				t.Errorf("class %s: %+v, then %+v with the same seed", name, *o, *got.Classes[name])
			}
		}
	}
}
