package schedule

import (
	"time"

	"github.com/cornelyard/cornelyard/ident"
	"github.com/cornelyard/cornelyard/quarantine"
)

// SuspicionEvent is a change of what is known against a digest that ran on crashed targets.
type SuspicionEvent struct {
	Digest quarantine.Digest
	// Crashes is the number of crashes in which the digest is implicated, and Strikes how
	// many of them count against it.
	Crashes int
	Strikes int
	// ServedBy is the target on which this host served the digest, which cleared it; empty
	// if the digest was not cleared here.
	ServedBy ident.Target
}

// TakeSuspicionEvents returns the events since the last call.
func (s *Scheduler) TakeSuspicionEvents() []SuspicionEvent {
	events := s.suspicionEvents
	s.suspicionEvents = nil
	return events
}

// recordSuspicionChanges adds an event for each digest that is implicated in more or fewer
// crashes, or has another number of strikes, than at the last call.
func (s *Scheduler) recordSuspicionChanges(now time.Time) {
	before := s.suspicions
	s.suspicions = make(map[quarantine.Digest]SuspicionEvent)
	for _, digest := range s.crashes.Suspects(now) {
		strikes, _ := s.crashes.Strikes(now, digest)
		e := SuspicionEvent{Digest: digest, Crashes: s.crashes.Implications(now, digest), Strikes: strikes}
		s.suspicions[digest] = e
		if before[digest] != e {
			s.suspicionEvents = append(s.suspicionEvents, e)
		}
	}
}
