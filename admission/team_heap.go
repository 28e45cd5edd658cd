package admission

// teamHeapKind tells the heaps that one team queue is in apart.
type teamHeapKind int

const (
	// teamHeapOrder has the team that used least on top.
	teamHeapService teamHeapKind = iota
	// teamHeapReverse has the team that used most on top.
	teamHeapShed
	teamHeapKinds
)

// teamHeap is a heap of the teams that have queued requests.
type teamHeap = indexedHeap[*teamQueue]

func newTeamHeap(kind teamHeapKind, less func(a, b *teamQueue) bool) *teamHeap {
	return &teamHeap{less: less, position: func(t *teamQueue) *int { return &t.positions[kind] }}
}
