package admission

// heapKind tells the heaps that one queued request is in apart.
type heapKind int

const (
	// heapOrder orders a team's requests for service.
	heapService heapKind = iota
	// heapReverse orders a team's requests for shedding.
	heapShed
	// heapGiveUp orders all requests by the time to give up.
	heapLatestStart
	// heapRisk orders a tier's requests by the time to look for a victim.
	heapRiskCheck
	// heapArrival orders requests by arrival, for the baselines.
	heapArrival
	heapKinds
)

// requestHeap is a heap of queued requests.
type requestHeap = indexedHeap[*queuedRequest]

func newRequestHeap(kind heapKind, less func(a, b *queuedRequest) bool) *requestHeap {
	return &requestHeap{less: less, position: func(q *queuedRequest) *int { return &q.positions[kind] }}
}
