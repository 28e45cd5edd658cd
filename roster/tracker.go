package roster

import (
	"maps"
	"time"

	"github.com/cornelyard/cornelyard/ident"
	"github.com/cornelyard/cornelyard/route"
)

const (
	// returnGrace is how long after the store's return the targets have to renew
	// their entries; the platform promises about two seconds.
	returnGrace = 1900 * time.Millisecond
	// shortestLapse is the shortest outage in which an entry may lapse.
	shortestLapse = time.Second
)

// Tracker holds the list of targets. It is not safe for concurrent use.
type Tracker struct {
	announced map[ident.Target]route.Target
	// missing holds targets whose entries have lapsed, maybe only because of an
	// outage.
	missing map[ident.Target]route.Target
	// away is since when the store does not answer, or zero; back is the end of
	// the last outage in which entries may have lapsed.
	away time.Time
	back time.Time
}

// NewTracker returns a keeper that knows no target.
func NewTracker() *Tracker {
	return &Tracker{
		announced: make(map[ident.Target]route.Target),
		missing:   make(map[ident.Target]route.Target),
	}
}

// RecordStoreCall notes whether the store answered a call.
func (k *Tracker) RecordStoreCall(now time.Time, answered bool) {
	switch {
	case !answered && k.away.IsZero():
		k.away = now
	case answered && !k.away.IsZero():
		if now.Sub(k.away) >= shortestLapse {
			k.back = now
		}
		k.away = time.Time{}
	}
}

// SetEntries takes in all entries of the store.
func (k *Tracker) SetEntries(now time.Time, targets map[ident.Target]route.Target) {
	if k.inGrace(now) {
		for name, target := range k.announced {
			if _, still := targets[name]; !still && !target.Draining {
				k.missing[name] = target
			}
		}
	}
	for name := range targets {
		delete(k.missing, name)
	}
	k.announced = targets
}

func (k *Tracker) inGrace(now time.Time) bool {
	return !k.back.IsZero() && now.Sub(k.back) < returnGrace
}

// UntilExpiry returns how long it is until targets that are still missing count as
// gone, or zero if none is missing.
func (k *Tracker) UntilExpiry(now time.Time) time.Duration {
	if len(k.missing) == 0 {
		return 0
	}
	return max(returnGrace-now.Sub(k.back), time.Millisecond)
}

// Snapshot returns the targets as of now.
func (k *Tracker) Snapshot(now time.Time) *route.TargetSnapshot {
	if !k.inGrace(now) {
		clear(k.missing)
	}
	targets := maps.Clone(k.announced)
	maps.Copy(targets, k.missing)
	return &route.TargetSnapshot{Targets: targets}
}
