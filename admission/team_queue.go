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
	used float64

	order     *requestHeap
	reverse   *requestHeap
	positions [teamHeapKinds]int
}

func newTeamQueue(name ident.Team, tier *tierQueue, weight float64) *teamQueue {
	t := &teamQueue{name: name, tier: tier, weight: weight}
	t.order = newRequestHeap(heapOrder, func(a, b *queued) bool { return a.before(b) })
	t.reverse = newRequestHeap(heapReverse, func(a, b *queued) bool { return b.before(a) })
	for kind := range t.positions {
		t.positions[kind] = -1
	}
	return t
}
