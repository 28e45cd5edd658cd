package hoststate

import (
	"maps"
	"time"

	"github.com/cornelyard/cornelyard/ident"
	"github.com/cornelyard/cornelyard/quota"
)

const (
	// nearUsageInterval and farUsageInterval are the times after which the usage of all
	// teams is reported again, for receivers that lack it or lost a message.
	nearUsageInterval = 250 * time.Millisecond
	farUsageInterval  = time.Second
)

// usageFilter selects the teams whose usage has to be reported to a group of receivers.
type usageFilter struct {
	// fullInterval is the time between two reports of all teams.
	fullInterval time.Duration
	fullAt       time.Time
	reported     map[ident.Team]quota.Usage
}

// changes returns the teams whose total has changed since it was last reported, or all of
// them if that is due. The caller must send them.
func (f *usageFilter) changes(now time.Time, usage map[ident.Team]quota.Usage) map[ident.Team]quota.Usage {
	if now.Sub(f.fullAt) >= f.fullInterval {
		f.fullAt = now
		f.reported = make(map[ident.Team]quota.Usage, len(usage))
		maps.Copy(f.reported, usage)
		return usage
	}
	changed := make(map[ident.Team]quota.Usage)
	for team, u := range usage {
		last, known := f.reported[team]
		if known && last.Total == u.Total && last.WarmedUp == u.WarmedUp {
			continue
		}
		changed[team] = u
		f.reported[team] = u
	}
	return changed
}
