package roster

import (
	"maps"
	"time"

	"github.com/cornelyard/cornelyard/ident"
	"github.com/cornelyard/cornelyard/route"
)

const (
	// departureMemory is how long the departure of a target is remembered. It is longer than
	// the age of any copy that the store returns from.
	departureMemory = time.Minute
	// returnGrace is how long after the store's return from an older copy an entry may still
	// be the one of the copy: until the target has written again or, if it is gone, the store
	// has dropped the entry.
	returnGrace = 5 * time.Second
)

// departure is what is known of a target that has left or is draining.
type departure struct {
	startUnixMs int64
	// gone says that its entry has disappeared; otherwise it is draining.
	gone bool
	at   time.Time
}

// appliesTo reports whether the departure is that of the entry's process.
func (d departure) appliesTo(entry *route.Target) bool { return d.startUnixMs == entry.StartUnixMs }

// recordDepartures remembers the targets that the next list of entries lacks, and those that
// are draining in it. While entries may be missing for another reason, a missing one is no
// departure.
func (t *Tracker) recordDepartures(now time.Time, next map[ident.Target]route.Target) {
	for name, entry := range t.entries {
		if _, listed := next[name]; !listed && !t.inRenewalGrace(now) {
			t.departures[name] = departure{startUnixMs: entry.StartUnixMs, gone: true, at: now}
		}
	}
	for name, entry := range next {
		switch {
		case entry.Draining:
			t.departures[name] = departure{startUnixMs: entry.StartUnixMs, at: now}
		case !t.inReturnGrace(now):
			delete(t.departures, name)
		}
	}
	maps.DeleteFunc(t.departures, func(_ ident.Target, d departure) bool { return now.Sub(d.at) > departureMemory })
}

func (t *Tracker) inReturnGrace(now time.Time) bool {
	return !t.returnedAt.IsZero() && now.Sub(t.returnedAt) < returnGrace
}

// withDepartures corrects entries that may come from an older copy of the store by what is
// known of the departures of their processes.
func (t *Tracker) withDepartures(now time.Time, entries map[ident.Target]route.Target) {
	if !t.inReturnGrace(now) {
		return
	}
	for name, entry := range entries {
		d, known := t.departures[name]
		switch {
		case !known || !d.appliesTo(&entry):
		case d.gone:
			delete(entries, name)
		default:
			entry.Draining = true
			entries[name] = entry
		}
	}
}
