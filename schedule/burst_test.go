package schedule_test

import (
	"testing"
	"time"

	"github.com/cornelyard/cornelyard/internal/loadmodel"
)

// runBurst simulates a run with factor times the usual load in one third of it.
func runBurst(seed uint64, factor float64, policy loadmodel.Policy) loadmodel.Report {
	setup := loadmodel.DraftingPool(seed)
	setup.Policy = policy
	setup.Bursts = []loadmodel.Burst{{From: 5 * time.Second, To: 15 * time.Second, Factor: factor}}
	return loadmodel.Run(setup)
}

func TestBurstServesMoreThanTheBaseline(t *testing.T) {
	for _, factor := range []float64{1, 2} {
		for seed := range uint64(2) {
			scheduled := runBurst(seed, factor, loadmodel.Scheduled).ValueRatio()
			baseline := runBurst(seed, factor, loadmodel.LeastLocalRequests).ValueRatio()
			if scheduled < baseline {
				t.Errorf("load %v, seed %d: credit %.3f, baseline %.3f", factor, seed, scheduled, baseline)
			}
		}
	}
}

func TestUrgentRequestsGoFirstInABurst(t *testing.T) {
	for seed := range uint64(2) {
		r := runBurst(seed, 2, loadmodel.Scheduled)
		draft, check, explain := r.Classes["draft"], r.Classes["check"], r.Classes["explain"]
		// A class may be served up to 5 percentage points less often than a less urgent one.
		if draft.ServedRatio() < check.ServedRatio()-0.05 || check.ServedRatio() < explain.ServedRatio()-0.05 {
			t.Errorf("seed %d: served ratios: draft %.3f, check %.3f, explain %.3f", seed, draft.ServedRatio(), check.ServedRatio(), explain.ServedRatio())
		}
	}
}

func TestNoClassStarvesInLongOverload(t *testing.T) {
	setup := loadmodel.DraftingPool(1)
	setup.Bursts = []loadmodel.Burst{{From: 0, To: setup.Length, Factor: 1.8}}
	r := loadmodel.Run(setup)
	all := r.Total().ServedRatio()
	for name, o := range r.Classes {
		if o.ServedRatio() < all/4 {
			t.Errorf("class %s: served ratio %.3f, all classes %.3f", name, o.ServedRatio(), all)
		}
	}
}

func TestFewCallersDisconnectWithoutResponse(t *testing.T) {
	r := runBurst(1, 2, loadmodel.Scheduled)
	total := r.Total()
	if share := float64(total.Abandoned) / float64(total.Arrived); share > 0.02 {
		t.Errorf("%.3f of the callers disconnected without a response", share)
	}
}

func TestUnresponsiveEnginesAreAvoided(t *testing.T) {
	setup := loadmodel.DraftingPool(1)
	setup.FailedEngines, setup.FailAt = 3, 10*time.Second
	r := loadmodel.Run(setup)
	// Three engines with seven slots each may hold requests when they stop responding;
	// 40 more are allowed for the probes that they get afterwards.
	if limit := 21 + 40; r.Total().Abandoned > limit {
		t.Errorf("%d callers disconnected without a response, want at most %d", r.Total().Abandoned, limit)
	}
}
