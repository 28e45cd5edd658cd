package admission

import "github.com/cornelyard/cornelyard/ident"

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

func (t *tierQueue) snapshot() TierSnapshot {
	return TierSnapshot{
		Tier:            t.name,
		Rank:            t.rank,
		Queued:          t.queued,
		RunningRequests: len(t.running.items),
		Backlog:         t.backlog.total,
	}
}
