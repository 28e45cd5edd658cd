package schedule

import (
	"slices"

	"github.com/cornelyard/cornelyard/ident"
)

// queue holds the waiting requests of one pool in the order of service.
type queue struct {
	items []*waiting
}

func (q *queue) add(w *waiting) {
	at, _ := slices.BinarySearchFunc(q.items, w, (*waiting).compare)
	q.items = slices.Insert(q.items, at, w)
}

func (q *queue) remove(id ident.Request) bool {
	at := slices.IndexFunc(q.items, func(w *waiting) bool { return w.request.ID == id })
	if at < 0 {
		return false
	}
	q.items = slices.Delete(q.items, at, at+1)
	return true
}

// position returns how many requests are served before w.
func (q *queue) position(w *waiting) int {
	at, _ := slices.BinarySearchFunc(q.items, w, (*waiting).compare)
	return at
}
