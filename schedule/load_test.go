package schedule_test

import (
	"testing"
	"time"

	"github.com/cornelyard/cornelyard/internal/loadmodel"
)

// burst plays a third of a run with so many times the usual load.
func burst(seed uint64, factor float64, policy loadmodel.Policy) loadmodel.Report {
	setup := loadmodel.Drafting(seed)
	setup.Policy = policy
	setup.Bursts = []loadmodel.Burst{{From: 5 * time.Second, To: 15 * time.Second, Factor: factor}}
	return loadmodel.Run(setup)
}

func TestBurstServesMoreThanTheBaseline(t *testing.T) {
	for _, factor := range []float64{1, 2} {
		for seed := range uint64(2) {
			ours := burst(seed, factor, loadmodel.Scheduled).Credit()
			baseline := burst(seed, factor, loadmodel.LeastOwn).Credit()
			if ours < baseline {
				t.Errorf("load %v, seed %d: credit %.3f, the baseline's is %.3f", factor, seed, ours, baseline)
			}
		}
	}
}

func TestUrgentRequestsGoFirstInABurst(t *testing.T) {
	for seed := range uint64(2) {
		r := burst(seed, 2, loadmodel.Scheduled)
		draft, check, explain := r.Classes["draft"], r.Classes["check"], r.Classes["explain"]
		// A kind may be served less often than a less urgent one by 5 in 100.
		if draft.Served() < check.Served()-0.05 || check.Served() < explain.Served()-0.05 {
			t.Errorf("seed %d: served %.3f, %.3f and %.3f", seed, draft.Served(), check.Served(), explain.Served())
		}
	}
}

func TestNoKindIsStarvedInALongOverload(t *testing.T) {
	setup := loadmodel.Drafting(1)
	setup.Bursts = []loadmodel.Burst{{From: 0, To: setup.Length, Factor: 1.8}}
	r := loadmodel.Run(setup)
	all := r.Total().Served()
	for name, o := range r.Classes {
		if o.Served() < all/4 {
			t.Errorf("%s is served to %.3f, all together to %.3f", name, o.Served(), all)
		}
	}
}

func TestFewCallersWaitInVain(t *testing.T) {
	r := burst(1, 2, loadmodel.Scheduled)
	total := r.Total()
	if share := float64(total.Left) / float64(total.Asked); share > 0.02 {
		t.Errorf("%.3f of the callers left without an answer", share)
	}
}

func TestLostEnginesAreLeftAlone(t *testing.T) {
	setup := loadmodel.Drafting(1)
	setup.Lost, setup.LostAt = 3, 10*time.Second
	r := loadmodel.Run(setup)
	// Three engines with seven slots each may hold requests when they fall silent,
	// and get probes afterwards.
	if limit := 21 + 40; r.Total().Left > limit {
		t.Errorf("%d callers left without an answer, more than %d", r.Total().Left, limit)
	}
}
