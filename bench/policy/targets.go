package policy

import "github.com/cornelyard/cornelyard/settings"

const (
	overload  = 2.0
	lightLoad = 0.7
)

// targets compares the predictive policy with the best baseline for each figure.
func targets(results []Result) []Target {
	var all []Target
	if own, baselines := split(results, overload); own != nil && len(baselines) > 0 {
		all = append(all, overloadTargets(own, baselines)...)
	}
	if own, baselines := split(results, lightLoad); own != nil {
		for _, baseline := range baselines {
			if baseline.Policy == settings.PolicyRoundRobin {
				ratio := own.Total.FinishP99Ms / max(1, baseline.Total.FinishP99Ms)
				all = append(all, atMost("0.7: finish 99 in parts of round robin's", ratio, 0.6))
			}
		}
	}
	slowed, absent := find(results, "slowed"), find(results, "absent")
	if slowed != nil && absent != nil {
		ratio := float64(slowed.Total.Good) / float64(max(1, absent.Total.Good))
		all = append(all, atLeast("good answers with one engine slowed in parts of those without it", ratio, 0.9))
	}
	return all
}

func overloadTargets(own *Result, baselines []*Result) []Target {
	bestGood, leastWaste := 0, 1.0
	for _, baseline := range baselines {
		bestGood = max(bestGood, baseline.Total.Good)
		leastWaste = min(leastWaste, baseline.WastedPart)
	}
	top := own.Tiers[0]
	return []Target{
		atLeast("2.0: good part of the top tier", part(top.Good, top.Offered), 0.99),
		atLeast("2.0: good answers in parts of the best baseline's", part(own.Total.Good, bestGood), 1.2),
		atMost("2.0: wasted part of the prefill in parts of the best baseline's", own.WastedPart/max(1e-9, leastWaste), 0.3),
		atMost("2.0: wasted part of the prefill", own.WastedPart, 0.03),
	}
}

// split returns the results of one load: the predictive policy's and the others.
func split(results []Result, load float64) (own *Result, baselines []*Result) {
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

func find(results []Result, name string) *Result {
	for i := range results {
		if results[i].Case == name {
			return &results[i]
		}
	}
	return nil
}

func atLeast(name string, value, limit float64) Target {
	return Target{Name: name, Value: value, Limit: limit, Met: value >= limit}
}

func atMost(name string, value, limit float64) Target {
	return Target{Name: name, Value: value, Limit: limit, AtMost: true, Met: value <= limit}
}
