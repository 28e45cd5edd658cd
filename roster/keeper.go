package roster

import (
	"maps"
	"time"

	"github.com/cornelyard/cornelyard/ident"
	"github.com/cornelyard/cornelyard/route"
)

// returnGrace is how long after the store's return the targets have to renew their
// entries; the platform promises about two seconds.
const returnGrace = 2200 * time.Millisecond

// Keeper holds the list of targets. It is not safe for concurrent use.
type Keeper struct {
	announced map[ident.Target]route.Target
	// missing holds targets whose entries have lapsed, maybe only because of an
	// outage.
	missing map[ident.Target]route.Target
	// away says that the store does not answer, back when it answered again.
	away bool
	back time.Time
}

// NewKeeper returns a keeper that knows no target.
func NewKeeper() *Keeper {
	return &Keeper{
		announced: make(map[ident.Target]route.Target),
		missing:   make(map[ident.Target]route.Target),
	}
}

// Store notes whether the store answered a call.
func (k *Keeper) Store(now time.Time, answered bool) {
	if k.away && answered {
		k.back = now
	}
	k.away = !answered
}

// Announce takes in all entries of the store.
func (k *Keeper) Announce(now time.Time, targets map[ident.Target]route.Target) {
	if k.inGrace(now) {
		for name, target := range k.announced {
			if _, still := targets[name]; !still && !target.Leaving {
				k.missing[name] = target
			}
		}
	}
	for name := range targets {
		delete(k.missing, name)
	}
	k.announced = targets
}

func (k *Keeper) inGrace(now time.Time) bool {
	return !k.back.IsZero() && now.Sub(k.back) < returnGrace
}

// Recheck returns how long it is until targets that are still missing count as
// gone, or zero if none is missing.
func (k *Keeper) Recheck(now time.Time) time.Duration {
	if len(k.missing) == 0 {
		return 0
	}
	return max(returnGrace-now.Sub(k.back), time.Millisecond)
}

// Roster returns the targets as of now.
func (k *Keeper) Roster(now time.Time) *route.Roster {
	if !k.inGrace(now) {
		clear(k.missing)
	}
	targets := maps.Clone(k.announced)
	maps.Copy(targets, k.missing)
	return &route.Roster{Targets: targets}
}
