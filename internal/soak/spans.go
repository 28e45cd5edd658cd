package soak

import (
	"sync"
	"time"
)

// span is a period with a fault; to is zero while the fault is active.
type span struct{ from, to time.Time }

func (s span) overlaps(from, to time.Time) bool {
	return s.from.Before(to) && (s.to.IsZero() || s.to.After(from))
}

// spans records the periods in which an object had a fault. It is safe for concurrent
// use.
type spans struct {
	mu   sync.Mutex
	list []span
}

// start records the start of a fault, which ends when the returned function is called.
func (s *spans) start() (end func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.list = append(s.list, span{from: time.Now()})
	index := len(s.list) - 1
	return func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.list[index].to = time.Now()
	}
}

// overlaps reports whether there was a fault at any time between from and to.
func (s *spans) overlaps(from, to time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, recorded := range s.list {
		if recorded.overlaps(from, to) {
			return true
		}
	}
	return false
}
