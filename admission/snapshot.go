package admission

import "github.com/cornelyard/cornelyard/ident"

// Snapshot is the state of a Scheduler as shown to operators.
type Snapshot struct {
	DataCentre ident.DataCentre `json:"dataCentre"`
	Pool       ident.Pool       `json:"pool"`
	Tiers      []TierSnapshot   `json:"tiers"`
	Targets    []TargetSnapshot `json:"targets"`
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
