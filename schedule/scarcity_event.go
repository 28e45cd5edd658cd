package schedule

import "github.com/cornelyard/cornelyard/ident"

// ScarcityEvent says that the capacity of a pool has become scarce, or no longer is.
type ScarcityEvent struct {
	Pool   ident.Pool
	Scarce bool
	// Local says that requests of this host could not start in time; otherwise other hosts
	// report it.
	Local bool
	// Queued is the number of requests that this host has queued in the pool.
	Queued int
}

// TakeScarcityEvents returns the events since the last call.
func (s *Scheduler) TakeScarcityEvents() []ScarcityEvent {
	events := s.scarcityEvents
	s.scarcityEvents = nil
	return events
}
