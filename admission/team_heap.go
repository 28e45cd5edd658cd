package admission

// teamHeapKind identifies one of the heaps that a team queue is in.
type teamHeapKind int

const (
	// teamHeapService has the team with the least usage on top.
	teamHeapService teamHeapKind = iota
	// teamHeapShed has the team with the most usage on top.
	teamHeapShed
	teamHeapKinds
)

// teamHeap is a heap of the teams with queued requests.
type teamHeap = indexedHeap[*teamQueue]

func newTeamHeap(kind teamHeapKind, less func(a, b *teamQueue) bool) *teamHeap {
	return &teamHeap{less: less, index: func(t *teamQueue) *int { return &t.positions[kind] }}
}
