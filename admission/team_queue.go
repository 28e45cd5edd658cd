package admission

import "github.com/cornelyard/cornelyard/ident"

// teamQueue holds the queued requests and the usage of one team in one tier.
type teamQueue struct {
	name   ident.Team
	tier   *tierQueue
	weight float64
	// decayedUsage is the team's exponentially decayed usage divided by its
	// weight, in the scaled token-seconds of the tier's usageClock.
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
