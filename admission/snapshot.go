package admission

import (
	"time"

	"github.com/cornelyard/cornelyard/ident"
)

// Snapshot is the state of a Scheduler as shown to operators.
type Snapshot struct {
	DataCentre ident.DataCentre `json:"dataCentre"`
	Pool       ident.Pool       `json:"pool"`
	Tiers      []TierSnapshot   `json:"tiers"`
	Targets    []TargetSnapshot `json:"targets"`
}

// TierSnapshot is the state of one tier.
type TierSnapshot struct {
	Tier            ident.Tier `json:"tier"`
	Rank            int        `json:"rank"`
	Queued          int        `json:"queued"`
	RunningRequests int        `json:"inService"`
	// Backlog is the expected running time of the queued requests, in seconds
	// of one slot.
	Backlog float64 `json:"backlogSeconds"`
}

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

// Snapshot returns the state; predictions are as of the last decision.
func (s *Scheduler) Snapshot() Snapshot {
	snapshot := Snapshot{DataCentre: s.options.DataCentre, Pool: s.options.Pool}
	for _, tier := range s.tiers {
		snapshot.Tiers = append(snapshot.Tiers, tier.snapshot())
	}
	for _, target := range s.targets {
		snapshot.Targets = append(snapshot.Targets, target.snapshot(s.lastDecision))
	}
	return snapshot
}

func (t *tierQueue) snapshot() TierSnapshot {
	return TierSnapshot{
		Tier:            t.name,
		Rank:            t.rank,
		Queued:          t.queued,
		RunningRequests: len(t.running.items),
		Backlog:         t.backlog.total,
	}
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
