package admission

// heapKind identifies one of the heaps that a queued request is in.
type heapKind int

const (
	// heapService orders a team's requests for service.
	heapService heapKind = iota
	// heapShed orders a team's requests for shedding.
	heapShed
	// heapLatestStart orders all requests by latest start.
	heapLatestStart
	// heapRiskCheck orders a tier's requests by the time of their next risk
	// check.
	heapRiskCheck
	// heapArrival orders requests by arrival, for the baseline policies.
	heapArrival
	heapKinds
)

// requestHeap is a heap of queued requests.
type requestHeap = indexedHeap[*queuedRequest]

func newRequestHeap(kind heapKind, less func(a, b *queuedRequest) bool) *requestHeap {
	return &requestHeap{less: less, index: func(q *queuedRequest) *int { return &q.positions[kind] }}
}
