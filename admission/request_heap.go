package admission

import "container/heap"

// heapKind tells the heaps that one queued request is in apart.
type heapKind int

const (
	// heapOrder orders a team's requests for service.
	heapOrder heapKind = iota
	// heapReverse orders a team's requests for shedding.
	heapReverse
	// heapGiveUp orders all requests by the time to give up.
	heapGiveUp
	// heapRisk orders a tier's requests by the time to look for a victim.
	heapRisk
	// heapArrival orders requests by arrival, for the baselines.
	heapArrival
	heapKinds
)

// requestHeap is an indexed binary heap of queued requests.
type requestHeap struct {
	kind  heapKind
	less  func(a, b *queued) bool
	items []*queued
}

func newRequestHeap(kind heapKind, less func(a, b *queued) bool) *requestHeap {
	return &requestHeap{kind: kind, less: less}
}

// Len implements heap.Interface.
func (h *requestHeap) Len() int { return len(h.items) }

// Less implements heap.Interface.
func (h *requestHeap) Less(i, j int) bool { return h.less(h.items[i], h.items[j]) }

// Swap implements heap.Interface.
func (h *requestHeap) Swap(i, j int) {
	h.items[i], h.items[j] = h.items[j], h.items[i]
	h.items[i].positions[h.kind] = i
	h.items[j].positions[h.kind] = j
}

// Push implements heap.Interface.
func (h *requestHeap) Push(x any) {
	q := x.(*queued)
	q.positions[h.kind] = len(h.items)
	h.items = append(h.items, q)
}

// Pop implements heap.Interface.
func (h *requestHeap) Pop() any {
	last := len(h.items) - 1
	q := h.items[last]
	h.items[last] = nil
	h.items = h.items[:last]
	q.positions[h.kind] = -1
	return q
}

func (h *requestHeap) add(q *queued) { heap.Push(h, q) }

func (h *requestHeap) remove(q *queued) {
	if position := q.positions[h.kind]; position >= 0 {
		heap.Remove(h, position)
	}
}

func (h *requestHeap) fix(q *queued) {
	if position := q.positions[h.kind]; position >= 0 {
		heap.Fix(h, position)
	}
}

// first returns the least request, or nil.
func (h *requestHeap) first() *queued {
	if len(h.items) == 0 {
		return nil
	}
	return h.items[0]
}
