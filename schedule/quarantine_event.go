package schedule

import (
	"slices"
	"time"

	"github.com/cornelyard/cornelyard/quarantine"
)

// QuarantineEvent is the start or the end of a digest's quarantine.
type QuarantineEvent struct {
	Digest quarantine.Digest
	// Started says that the digest is quarantined now; if false, it was released.
	Started bool
	// Until is the end of the quarantine if nothing else happens.
	Until time.Time
	// Strikes is the number of strikes, and LastStrike the time of the last one.
	Strikes    int
	LastStrike time.Time
}

// TakeQuarantineEvents returns the events since the last call.
func (s *Scheduler) TakeQuarantineEvents() []QuarantineEvent {
	events := s.quarantineEvents
	s.quarantineEvents = nil
	return events
}

// recordQuarantineChanges adds an event for each digest whose quarantine started or ended
// since the last call.
func (s *Scheduler) recordQuarantineChanges(now time.Time) {
	before := s.quarantined
	s.quarantined = s.crashes.Quarantined(now)
	for _, digest := range s.quarantined {
		if slices.Contains(before, digest) {
			continue
		}
		strikes, last := s.crashes.Strikes(now, digest)
		s.quarantineEvents = append(s.quarantineEvents, QuarantineEvent{
			Digest: digest, Started: true, Until: last.Add(quarantine.Duration), Strikes: strikes, LastStrike: last,
		})
	}
	for _, digest := range before {
		if !slices.Contains(s.quarantined, digest) {
			s.quarantineEvents = append(s.quarantineEvents, QuarantineEvent{Digest: digest})
		}
	}
}
