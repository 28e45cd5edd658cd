package schedule

import (
	"math"
	"time"
)

// resultDecayTime is the time constant with which past results count less.
const resultDecayTime = 4 * time.Second

// resultCounts counts good and bad results; older ones count less.
type resultCounts struct {
	successes float64
	failures  float64
	updatedAt time.Time
}

func (t *resultCounts) decay(now time.Time) {
	if !t.updatedAt.IsZero() && now.After(t.updatedAt) {
		factor := math.Exp(-now.Sub(t.updatedAt).Seconds() / resultDecayTime.Seconds())
		t.successes *= factor
		t.failures *= factor
	}
	t.updatedAt = now
}

func (t *resultCounts) add(now time.Time, bad bool) {
	t.decay(now)
	if bad {
		t.failures++
		return
	}
	t.successes++
}
