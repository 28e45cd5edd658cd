package admission

import "container/heap"

// indexedHeap is a binary heap that records each item's index, so that any item
// can be moved or removed in logarithmic time.
type indexedHeap[T any] struct {
	less func(a, b T) bool
	// position returns the address of an item's index, which is -1 while the
	// item is not in the heap.
	position func(T) *int
	items    []T
}

// Len implements heap.Interface.
func (h *indexedHeap[T]) Len() int { return len(h.items) }

// Less implements heap.Interface.
func (h *indexedHeap[T]) Less(i, j int) bool { return h.less(h.items[i], h.items[j]) }

// Swap implements heap.Interface.
func (h *indexedHeap[T]) Swap(i, j int) {
	h.items[i], h.items[j] = h.items[j], h.items[i]
	*h.position(h.items[i]) = i
	*h.position(h.items[j]) = j
}

// Push implements heap.Interface.
func (h *indexedHeap[T]) Push(x any) {
	item := x.(T)
	*h.position(item) = len(h.items)
	h.items = append(h.items, item)
}

// Pop implements heap.Interface.
func (h *indexedHeap[T]) Pop() any {
	last := len(h.items) - 1
	item := h.items[last]
	var none T
	h.items[last] = none
	h.items = h.items[:last]
	*h.position(item) = -1
	return item
}

// add adds an item unless it is already in the heap.
func (h *indexedHeap[T]) add(item T) {
	if *h.position(item) < 0 {
		heap.Push(h, item)
	}
}

// remove removes an item if it is in the heap.
func (h *indexedHeap[T]) remove(item T) {
	if place := *h.position(item); place >= 0 {
		heap.Remove(h, place)
	}
}

// fix restores the heap order after an item's key changed.
func (h *indexedHeap[T]) fix(item T) {
	if place := *h.position(item); place >= 0 {
		heap.Fix(h, place)
	}
}

// peek returns the least item, or the zero value if the heap is empty.
func (h *indexedHeap[T]) peek() T {
	var none T
	if len(h.items) == 0 {
		return none
	}
	return h.items[0]
}
