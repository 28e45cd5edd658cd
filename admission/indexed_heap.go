package admission

import "container/heap"

// indexedHeap is a binary heap whose items know their places, so that any of them can be
// moved or taken out.
type indexedHeap[T any] struct {
	less func(a, b T) bool
	// position returns where an item keeps its place, which is -1 while it is not in
	// the heap.
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

// add puts an item into the heap unless it is there.
func (h *indexedHeap[T]) add(item T) {
	if *h.position(item) < 0 {
		heap.Push(h, item)
	}
}

// remove takes an item out of the heap if it is there.
func (h *indexedHeap[T]) remove(item T) {
	if place := *h.position(item); place >= 0 {
		heap.Remove(h, place)
	}
}

// fix moves an item to its place after its order changed.
func (h *indexedHeap[T]) fix(item T) {
	if place := *h.position(item); place >= 0 {
		heap.Fix(h, place)
	}
}

// first returns the least item, or the zero value if there is none.
func (h *indexedHeap[T]) peek() T {
	var none T
	if len(h.items) == 0 {
		return none
	}
	return h.items[0]
}
