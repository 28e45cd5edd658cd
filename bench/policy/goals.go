package policy

import "github.com/cornelyard/cornelyard/settings"

const (
	overload  = 2.0
	lightLoad = 0.7
)

// evaluateGoals compares the predictive policy with the baselines and fixed limits.
func evaluateGoals(results []Result) []Goal {
	var all []Goal
	if own, baselines := splitByPolicy(results, overload); own != nil && len(baselines) > 0 {
		all = append(all, overloadGoals(own, baselines)...)
	}
	if own, baselines := splitByPolicy(results, lightLoad); own != nil {
		for _, baseline := range baselines {
			if baseline.Policy == settings.PolicyRoundRobin {
				ratio := own.Total.FinishP99Ms / max(1, baseline.Total.FinishP99Ms)
				all = append(all, atMost("0.7: finish 99 in parts of round robin's", ratio, 0.6))
			}
		}
	}
	slowed, absent := findCase(results, "slowed"), findCase(results, "absent")
	if slowed != nil && absent != nil {
		ratio := float64(slowed.Total.Good) / float64(max(1, absent.Total.Good))
		all = append(all, atLeast("good answers with one engine slowed in parts of those without it", ratio, 0.9))
	}
	return all
}

func overloadGoals(own *Result, baselines []*Result) []Goal {
	bestGood, leastWaste := 0, 1.0
	for _, baseline := range baselines {
		bestGood = max(bestGood, baseline.Total.Good)
		leastWaste = min(leastWaste, baseline.WastedRatio)
	}
	top := own.Tiers[0]
	return []Goal{
		atLeast("2.0: good part of the top tier", ratio(top.Good, top.Offered), 0.99),
		atLeast("2.0: good answers in parts of the best baseline's", ratio(own.Total.Good, bestGood), 1.2),
		atMost("2.0: wasted part of the prefill in parts of the best baseline's", own.WastedRatio/max(1e-9, leastWaste), 0.3),
		atMost("2.0: wasted part of the prefill", own.WastedRatio, 0.03),
	}
}

// splitByPolicy returns the results at one load: that of the predictive policy and those
// of the other policies. It leaves out runs with a slowed or absent engine.
func splitByPolicy(results []Result, load float64) (own *Result, baselines []*Result) {
	for i := range results {
		result := &results[i]
		switch {
		case result.Load != load || result.Case != "":
		case result.Policy == settings.PolicyPredictive:
			own = result
		default:
			baselines = append(baselines, result)
		}
	}
	return own, baselines
}

func findCase(results []Result, name string) *Result {
	for i := range results {
		if results[i].Case == name {
			return &results[i]
		}
	}
	return nil
}

func atLeast(name string, value, limit float64) Goal {
	return Goal{Name: name, Value: value, Limit: limit, Met: value >= limit}
}

func atMost(name string, value, limit float64) Goal {
	return Goal{Name: name, Value: value, Limit: limit, AtMost: true, Met: value <= limit}
}
