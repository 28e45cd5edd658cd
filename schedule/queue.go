package schedule

import (
	"slices"

	"github.com/cornelyard/cornelyard/ident"
)

// queue holds the queued requests of one pool in the order of service.
type queue struct {
	items []*queuedRequest
}

func (q *queue) add(w *queuedRequest) {
	at, _ := slices.BinarySearchFunc(q.items, w, (*queuedRequest).compare)
	q.items = slices.Insert(q.items, at, w)
}

func (q *queue) remove(id ident.Request) bool {
	at := slices.IndexFunc(q.items, func(w *queuedRequest) bool { return w.request.ID == id })
	if at < 0 {
		return false
	}
	q.items = slices.Delete(q.items, at, at+1)
	return true
}

// position returns how many requests are ordered before w.
func (q *queue) position(w *queuedRequest) int {
	at, _ := slices.BinarySearchFunc(q.items, w, (*queuedRequest).compare)
	return at
}
