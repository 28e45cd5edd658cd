package admission

import (
	"time"

	"github.com/cornelyard/cornelyard/ident"
)

// TargetSnapshot is the state of one target.
type TargetSnapshot struct {
	Target          ident.Target `json:"target"`
	RunningRequests int          `json:"inService"`
	// Ceiling is the declared number of slots.
	Ceiling int `json:"ceiling"`
	// Slots is the number of slots at which the token gap stays within its
	// limit.
	Slots    int  `json:"slots"`
	Draining bool `json:"leaving"`
	// Failing says that the target could not be reached and is being probed.
	Failing bool `json:"failing"`
	// PrefillRate is the learned rate in prompt tokens a second.
	PrefillRate float64 `json:"prefillRate"`
	// TokenGap is the predicted time between tokens with one more stream.
	TokenGap time.Duration `json:"tokenGapNanoseconds"`
}

func (t *targetState) snapshot(at time.Time) TargetSnapshot {
	return TargetSnapshot{
		Target:          t.Name,
		RunningRequests: t.RunningRequests,
		Ceiling:         t.settings.Slots,
		Slots:           t.Limit.Slots(),
		Draining:        t.Draining,
		Failing:         t.Breaker.Tripped(),
		PrefillRate:     t.Estimator.PrefillRate(at),
		TokenGap:        t.Estimator.Gap(at, t.RunningRequests+1),
	}
}
