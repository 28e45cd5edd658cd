package roster

import (
	"maps"
	"time"

	"github.com/cornelyard/cornelyard/ident"
	"github.com/cornelyard/cornelyard/route"
)

const (
	// renewalGrace is how long after the store's return the targets have to renew
	// their entries. The platform promises about two seconds.
	renewalGrace = 1900 * time.Millisecond
	// minExpiryOutage is the shortest outage during which an entry may expire.
	minExpiryOutage = time.Second
)

// Tracker holds the list of targets. It is not safe for concurrent use.
type Tracker struct {
	entries map[ident.Target]route.Target
	// missing holds targets whose entries have expired, possibly only because of an
	// outage of the store.
	missing map[ident.Target]route.Target
	// outageStart is when the store stopped responding, or zero while it responds.
	// outageEnd is the end of the last outage during which entries may have expired.
	outageStart time.Time
	outageEnd   time.Time
	// returnedAt is when the store returned from an older copy, or zero.
	returnedAt time.Time
	// departures holds the targets that have left or are draining.
	departures map[ident.Target]departure
}

// NewTracker returns a tracker without targets.
func NewTracker() *Tracker {
	return &Tracker{
		entries: make(map[ident.Target]route.Target),
		missing: make(map[ident.Target]route.Target),

		departures: make(map[ident.Target]departure),
	}
}

// RecordStoreCall notes whether the store responded to a call.
func (t *Tracker) RecordStoreCall(now time.Time, responded bool) {
	switch {
	case !responded && t.outageStart.IsZero():
		t.outageStart = now
	case responded && !t.outageStart.IsZero():
		if now.Sub(t.outageStart) >= minExpiryOutage {
			t.outageEnd = now
		}
		t.outageStart = time.Time{}
	}
}

// RecordReturn notes that the store has returned from an older copy. Entries may be missing
// as after an outage, and for a while those of the copy are believed only as far as they do
// not contradict what is known.
func (t *Tracker) RecordReturn(now time.Time) {
	t.outageEnd = now
	t.returnedAt = now
}

// SetEntries replaces the list by all entries in the store. Within the renewal grace,
// targets without an entry are kept as missing, unless they were draining.
func (t *Tracker) SetEntries(now time.Time, entries map[ident.Target]route.Target) {
	t.recordDepartures(now, entries)
	if t.inRenewalGrace(now) {
		for name, target := range t.entries {
			if _, listed := entries[name]; !listed && !target.Draining {
				t.missing[name] = target
			}
		}
	}
	for name := range entries {
		delete(t.missing, name)
	}
	t.entries = entries
}

func (t *Tracker) inRenewalGrace(now time.Time) bool {
	return !t.outageEnd.IsZero() && now.Sub(t.outageEnd) < renewalGrace
}

// UntilExpiry returns the time until the snapshot changes without another list of entries,
// or zero if it does not: until missing targets are removed, or entries of an older copy
// are believed.
func (t *Tracker) UntilExpiry(now time.Time) time.Duration {
	if len(t.missing) > 0 {
		return max(renewalGrace-now.Sub(t.outageEnd), time.Millisecond)
	}
	if t.inReturnGrace(now) && len(t.departures) > 0 {
		return max(returnGrace-now.Sub(t.returnedAt), time.Millisecond)
	}
	return 0
}

// Snapshot returns the targets as of now, including missing ones within the renewal
// grace.
func (t *Tracker) Snapshot(now time.Time) *route.TargetSnapshot {
	if !t.inRenewalGrace(now) {
		clear(t.missing)
	}
	targets := maps.Clone(t.entries)
	maps.Copy(targets, t.missing)
	t.withDepartures(now, targets)
	return &route.TargetSnapshot{Targets: targets}
}
