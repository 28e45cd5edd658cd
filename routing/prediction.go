package routing

import (
	"math"
	"time"
)

// Prediction is the predicted run time on a target, split by phase.
type Prediction struct {
	Prefill time.Duration
	Decode  time.Duration
}

// Total returns the predicted run time of both phases.
func (p Prediction) Total() time.Duration { return p.Prefill + p.Decode }

// Predict returns the run time of a request on the target at its current load.
// The target has cached some of the prompt tokens; tokens is the output length.
func (t *Target) Predict(now time.Time, promptTokens, cached, tokens int) Prediction {
	computed := max(0, promptTokens-cached) + t.PendingPrefill
	return Prediction{
		Prefill: t.Estimator.Prefill(now, computed),
		Decode:  time.Duration(max(0, tokens-1)) * t.Estimator.Gap(now, t.expectedBatch(now)),
	}
}

// expectedBatch returns the batch size that one more request should expect: the
// current one or the recent mean, whichever is larger, since free slots fill up
// again.
func (t *Target) expectedBatch(now time.Time) int {
	recentMean := int(math.Ceil(t.occupancy.meanAt(now)))
	return max(t.RunningRequests+1, recentMean) + t.Load.ExternalRequests(now)
}

// PredictIdle is like Predict, but for an idle target.
func (t *Target) PredictIdle(now time.Time, promptTokens, cached, tokens int) Prediction {
	return Prediction{
		Prefill: t.Estimator.Prefill(now, max(0, promptTokens-cached)),
		Decode:  time.Duration(max(0, tokens-1)) * t.Estimator.Gap(now, 1),
	}
}
