package soak

import (
	"sync"
	"time"
)

// span is a time with a fault; an open one has no end.
type span struct{ from, to time.Time }

func (s span) overlaps(from, to time.Time) bool {
	return s.from.Before(to) && (s.to.IsZero() || s.to.After(from))
}

// spans are the times in which something had a fault. It is safe for concurrent use.
type spans struct {
	mu   sync.Mutex
	list []span
}

// begin notes that a fault begins; it lasts until the returned function is called.
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

// overlap says whether there was a fault at any moment between.
func (s *spans) overlaps(from, to time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, one := range s.list {
		if one.overlaps(from, to) {
			return true
		}
	}
	return false
}
