package admission

import (
	"testing"
	"time"
)

func TestModelPolicies(t *testing.T) {
	for _, offered := range []float64{0.7, 1.0, 2.0} {
		for _, policy := range modelPolicies {
			m := modelRun(policy, modelLoad{
				seed:      1,
				offered:   offered,
				duration:  120 * time.Second,
				tierParts: []float64{0.25, 0.25, 0.25, 0.25},
			}, nil)
			total := m.totals()
			t.Logf("%.1f %-20s good %d/%d top %.3f wasted %.3f p50 %.2f p99 %.2f tokens %d cut %d", offered, policy,
				total.good, total.offered, total.top, float64(total.wasted)/float64(total.computed), total.p50, total.p99, total.tokens, total.cutTokens)
			for _, tier := range testTiers {
				r := m.results[tier.Name]
				t.Logf("      %-8s offered %d good %d late %d shed %d infeasible %d preempted %d",
					tier.Name, r.offered, r.good, r.late, r.shed, r.infeasible, r.preempted)
			}
		}
	}
}
