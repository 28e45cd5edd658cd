package routing

import (
	"math"
	"time"
)

// Prediction splits the predicted time on a target.
type Prediction struct {
	Prefill time.Duration
	Decode  time.Duration
}

// Total returns the whole predicted time.
func (p Prediction) Total() time.Duration { return p.Prefill + p.Decode }

// Predict returns the time that so many prompt tokens, of which some are cached,
// and answer tokens take on the target beside what it has in service.
func (t *Target) Predict(now time.Time, promptTokens, cached, tokens int) Prediction {
	computed := max(0, promptTokens-cached) + t.PendingPrefill
	return Prediction{
		Prefill: t.Estimator.Prefill(now, computed),
		Decode:  time.Duration(max(0, tokens-1)) * t.Estimator.Gap(now, t.expectedBatch(now)),
	}
}

// expectedBatch is the batch that one more request is expected to be in: what is
// in service now, or lately if that was more, since slots fill up again.
func (t *Target) expectedBatch(now time.Time) int {
	lately := int(math.Ceil(t.occupancy.meanAt(now)))
	return max(t.InService+1, lately) + t.Load.ExternalRequests(now)
}

// PredictIdle returns the same as if nothing else were in service.
func (t *Target) PredictIdle(now time.Time, promptTokens, cached, tokens int) Prediction {
	return Prediction{
		Prefill: t.Estimator.Prefill(now, max(0, promptTokens-cached)),
		Decode:  time.Duration(max(0, tokens-1)) * t.Estimator.Gap(now, 1),
	}
}
