package admission

import "container/heap"

// indexedHeap is a binary heap that records each item's index, so that any item
// can be moved or removed in logarithmic time.
type indexedHeap[T any] struct {
	less func(a, b T) bool
	// index returns the address of an item's index, which is -1 while the item
	// is not in the heap.
	index func(T) *int
	items []T
}

// Len implements heap.Interface.
func (h *indexedHeap[T]) Len() int { return len(h.items) }

// Less implements heap.Interface.
func (h *indexedHeap[T]) Less(i, j int) bool { return h.less(h.items[i], h.items[j]) }

// Swap implements heap.Interface.
func (h *indexedHeap[T]) Swap(i, j int) {
	h.items[i], h.items[j] = h.items[j], h.items[i]
	*h.index(h.items[i]) = i
	*h.index(h.items[j]) = j
}

// Push implements heap.Interface.
func (h *indexedHeap[T]) Push(x any) {
	item := x.(T)
	*h.index(item) = len(h.items)
	h.items = append(h.items, item)
}

// Pop implements heap.Interface.
func (h *indexedHeap[T]) Pop() any {
	last := len(h.items) - 1
	item := h.items[last]
	var zero T
	h.items[last] = zero
	h.items = h.items[:last]
	*h.index(item) = -1
	return item
}

// add adds an item unless it is already in the heap.
func (h *indexedHeap[T]) add(item T) {
	if *h.index(item) < 0 {
		heap.Push(h, item)
	}
}

// remove removes an item if it is in the heap.
func (h *indexedHeap[T]) remove(item T) {
	if index := *h.index(item); index >= 0 {
		heap.Remove(h, index)
	}
}

// fix restores the heap order after an item's key changed.
func (h *indexedHeap[T]) fix(item T) {
	if index := *h.index(item); index >= 0 {
		heap.Fix(h, index)
	}
}

// peek returns the least item, or the zero value if the heap is empty.
func (h *indexedHeap[T]) peek() T {
	var zero T
	if len(h.items) == 0 {
		return zero
	}
	return h.items[0]
}
