package schedule

import (
	"math"
	"time"
)

// resultTimeConstant is the time constant of the exponential decay of past results.
const resultTimeConstant = 4 * time.Second

// resultCounts holds exponentially decayed counts of results.
type resultCounts struct {
	successes float64
	failures  float64
	updatedAt time.Time
}

func (t *resultCounts) decay(now time.Time) {
	if !t.updatedAt.IsZero() && now.After(t.updatedAt) {
		factor := math.Exp(-now.Sub(t.updatedAt).Seconds() / resultTimeConstant.Seconds())
		t.successes *= factor
		t.failures *= factor
	}
	t.updatedAt = now
}

func (t *resultCounts) add(now time.Time, failed bool) {
	t.decay(now)
	if failed {
		t.failures++
		return
	}
	t.successes++
}
