package admission

import (
	"time"

	"github.com/cornelyard/cornelyard/ident"
)

// Snapshot shows the state of a Scheduler to operators.
type Snapshot struct {
	DataCentre ident.DataCentre `json:"dataCentre"`
	Pool       ident.Pool       `json:"pool"`
	Tiers      []TierSnapshot   `json:"tiers"`
	Targets    []TargetSnapshot `json:"targets"`
}

// TierSnapshot counts the requests of one tier.
type TierSnapshot struct {
	Tier      ident.Tier `json:"tier"`
	Rank      int        `json:"rank"`
	Queued    int        `json:"queued"`
	InService int        `json:"inService"`
	// Wait is the predicted wait of a new request.
	Wait time.Duration `json:"waitNanoseconds"`
}

// TargetSnapshot shows one target.
type TargetSnapshot struct {
	Target    ident.Target `json:"target"`
	InService int          `json:"inService"`
	// Ceiling is the declared number of slots.
	Ceiling int `json:"ceiling"`
	// Slots is the number of slots that are in use or may be granted now.
	Slots   int  `json:"slots"`
	Leaving bool `json:"leaving"`
	Suspect bool `json:"suspect"`
	// PrefillRate is learned, in prompt tokens a second.
	PrefillRate float64 `json:"prefillRate"`
	// TokenGap is the learned time between tokens of one stream.
	TokenGap time.Duration `json:"tokenGapNanoseconds"`
}
