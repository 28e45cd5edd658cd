package admission

import "github.com/cornelyard/cornelyard/ident"

// teamQueue holds the queued requests of one team in one tier, and the team's
// account in that tier.
type teamQueue struct {
	name   ident.Team
	tier   *tierQueue
	weight float64
	// used is the team's decayed usage divided by its weight, in the scaled
	// token-seconds of the tier's clock.
	decayedUsage float64

	serviceOrder *requestHeap
	shedOrder    *requestHeap
	positions    [teamHeapKinds]int
}

func newTeamQueue(name ident.Team, tier *tierQueue, weight float64) *teamQueue {
	t := &teamQueue{name: name, tier: tier, weight: weight}
	t.serviceOrder = newRequestHeap(heapService, func(a, b *queuedRequest) bool { return a.dueBefore(b) })
	t.shedOrder = newRequestHeap(heapShed, func(a, b *queuedRequest) bool { return b.dueBefore(a) })
	for kind := range t.positions {
		t.positions[kind] = -1
	}
	return t
}
