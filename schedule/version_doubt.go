package schedule

import (
	"slices"
	"time"

	"github.com/cornelyard/cornelyard/ident"
	"github.com/cornelyard/cornelyard/route"
)

const (
	// restartDetection is how long the entry of a target that has started again may take to name
	// the new process.
	restartDetection = time.Second
	// entryReadInterval is the least time between two reads of the entries that this host wants
	// because streams begin at targets in doubt.
	entryReadInterval = time.Second
)

// mayHaveRestarted reports whether the target may run another process than its entry says,
// and so another software version.
func (t *target) mayHaveRestarted() bool { return !t.lostAt.IsZero() }

// entryDue reports whether the target is in doubt only until its entry is read.
func (t *target) entryDue(now time.Time) bool {
	return t.mayHaveRestarted() && now.Sub(t.lostAt) >= restartDetection
}

// ConfirmTargets records that the entries of targets are known as of a moment. A process that was lost
// longer before has not started again.
func (s *Scheduler) ConfirmTargets(asOf time.Time) {
	for _, t := range s.targets {
		if asOf.Sub(t.lostAt) >= restartDetection {
			t.lostAt = time.Time{}
		}
	}
}

// MayHaveRestarted reports whether the target may run another process than that of the entry.
func (s *Scheduler) MayHaveRestarted(entry route.Target) bool {
	t := s.targets[entry.Name]
	return t == nil || t.StartUnixMs != entry.StartUnixMs || t.mayHaveRestarted()
}

// EntriesDue reports whether no target is certain to have a software version, but one may be once the
// entries are read.
func (s *Scheduler) EntriesDue(now time.Time, pool ident.Pool, version string, excluded []ident.Target) bool {
	p := s.pools[pool]
	if p == nil {
		return false
	}
	due := false
	for _, t := range p.targets {
		if !t.available() || t.Version != version || slices.Contains(excluded, t.Name) {
			continue
		}
		if !t.mayHaveRestarted() {
			return false
		}
		due = due || t.entryDue(now)
	}
	return due
}

// TakeEntryRead reports whether the entries are to be read, because a stream began at a target in doubt.
func (s *Scheduler) TakeEntryRead(now time.Time, began ident.Target) bool {
	t := s.targets[began]
	if t == nil || !t.entryDue(now) || now.Sub(s.entriesWantedAt) < entryReadInterval {
		return false
	}
	s.entriesWantedAt = now
	return true
}
