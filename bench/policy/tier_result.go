package policy

import (
	"fmt"
	"io"

	"github.com/cornelyard/cornelyard/ident"
)

// TierResult is the result of one tier, or of all tiers if Tier is empty.
type TierResult struct {
	Tier ident.Tier `json:"tier,omitempty"`
	Counts
	Times
}

func (t TierResult) writeRow(w io.Writer, load float64, policy, wasted string) {
	tier := string(t.Tier)
	if tier == "" {
		tier = "all"
	}
	fmt.Fprintf(w, "%.1f\t%s\t%s\t%d\t%d\t%.3f\t%d\t%d\t%d\t%d\t%d\t%d\t%.0f\t%.0f\t%.0f\t%.0f\t%.1f\t%.1f\t%s\t\n",
		load, policy, tier, t.Offered, t.Good, ratio(t.Good, t.Offered), t.Late, t.Expired, t.Shed, t.Infeasible,
		t.Preempted, t.Failed, t.FinishP50Ms, t.FinishP99Ms, t.FirstTokenP50Ms, t.FirstTokenP99Ms,
		t.GapP50Ms, t.GapP99Ms, wasted)
}

func ratio(count, of int) float64 {
	if of == 0 {
		return 0
	}
	return float64(count) / float64(of)
}
