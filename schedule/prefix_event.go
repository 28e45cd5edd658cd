package schedule

import (
	"time"

	"github.com/cornelyard/cornelyard/ident"
)

// PrefixEvent says that a target did not have cached what was predicted.
type PrefixEvent struct {
	Target ident.Target
	Pool   ident.Pool
	// Tokens is the number of tokens predicted as cached, and FirstEvent the time from the dispatch
	// to the first event.
	Tokens     int
	FirstEvent time.Duration
	// Trust is the part of a prediction about the target that counts from now on.
	Trust float64
	// Wrong is the number of wrong predictions in the pool since the previous event.
	Wrong int
}

// TakePrefixEvents returns the events since the last call.
func (s *Scheduler) TakePrefixEvents() []PrefixEvent {
	events := s.prefixEvents
	s.prefixEvents = nil
	return events
}
