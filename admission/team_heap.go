package admission

import "container/heap"

// teamHeapKind tells the heaps that one team queue is in apart.
type teamHeapKind int

const (
	// teamHeapOrder has the team that used least on top.
	teamHeapOrder teamHeapKind = iota
	// teamHeapReverse has the team that used most on top.
	teamHeapReverse
	teamHeapKinds
)

// teamHeap is an indexed binary heap of the teams that have queued requests.
type teamHeap struct {
	kind  teamHeapKind
	less  func(a, b *teamQueue) bool
	items []*teamQueue
}

// Len implements heap.Interface.
func (h *teamHeap) Len() int { return len(h.items) }

// Less implements heap.Interface.
func (h *teamHeap) Less(i, j int) bool { return h.less(h.items[i], h.items[j]) }

// Swap implements heap.Interface.
func (h *teamHeap) Swap(i, j int) {
	h.items[i], h.items[j] = h.items[j], h.items[i]
	h.items[i].positions[h.kind] = i
	h.items[j].positions[h.kind] = j
}

// Push implements heap.Interface.
func (h *teamHeap) Push(x any) {
	t := x.(*teamQueue)
	t.positions[h.kind] = len(h.items)
	h.items = append(h.items, t)
}

// Pop implements heap.Interface.
func (h *teamHeap) Pop() any {
	last := len(h.items) - 1
	t := h.items[last]
	h.items[last] = nil
	h.items = h.items[:last]
	t.positions[h.kind] = -1
	return t
}

func (h *teamHeap) add(t *teamQueue) {
	if t.positions[h.kind] < 0 {
		heap.Push(h, t)
	}
}

func (h *teamHeap) remove(t *teamQueue) {
	if position := t.positions[h.kind]; position >= 0 {
		heap.Remove(h, position)
	}
}

func (h *teamHeap) fix(t *teamQueue) {
	if position := t.positions[h.kind]; position >= 0 {
		heap.Fix(h, position)
	}
}

// first returns the least team, or nil.
func (h *teamHeap) first() *teamQueue {
	if len(h.items) == 0 {
		return nil
	}
	return h.items[0]
}
