package pool

import (
	"sort"

	"github.com/cornelyard/cornelyard/admission"
	"github.com/cornelyard/cornelyard/ident"
	"github.com/cornelyard/cornelyard/membership"
	"github.com/cornelyard/cornelyard/settings"
	"github.com/cornelyard/cornelyard/storage"
)

// buildConfig assembles the scheduler configuration of a pool.
func (m *Manager) buildConfig(
	view *membership.View, snapshot *settings.Snapshot, name ident.Pool, fallback bool,
) admission.Config {
	draining := drainingTargets(m.options.Hosts.Entries())
	divisor := slotDivisor(view, m.options.DataCentre, fallback)
	c := admission.Config{Pool: *snapshot.Pools[name], Tiers: tiersByRank(snapshot)}
	for _, declared := range snapshot.PoolTargets(name, m.options.DataCentre) {
		target := *declared
		if _, ok := draining[target.Name]; ok {
			target.Leaving = true
		}
		target.Slots = max(target.Slots/divisor, 1)
		c.Targets = append(c.Targets, target)
	}
	return c
}

func tiersByRank(snapshot *settings.Snapshot) []settings.Tier {
	tiers := make([]settings.Tier, 0, len(snapshot.Tiers))
	for _, t := range snapshot.Tiers {
		tiers = append(tiers, *t)
	}
	sort.Slice(tiers, func(i, j int) bool { return tiers[i].Rank < tiers[j].Rank })
	return tiers
}

func drainingTargets(entries []storage.HostEntry) map[ident.Target]struct{} {
	draining := make(map[ident.Target]struct{})
	for _, e := range entries {
		if e.Role == storage.RoleTarget && e.State == storage.HostLeaving {
			draining[ident.Target(e.Name)] = struct{}{}
		}
	}
	return draining
}

// slotDivisor returns the divisor of each target's slots. A host that reaches no
// other member of its data centre, or not the owner, cannot distinguish failed
// peers from a network partition, so it uses only its share of each target.
func slotDivisor(view *membership.View, dc ident.DataCentre, fallback bool) int {
	known, live := 0, 0
	for _, m := range view.Members {
		if m.DataCentre != dc {
			continue
		}
		known++
		if m.State != membership.Dead {
			live++
		}
	}
	if live > 1 && !fallback {
		return 1
	}
	return max(known, 1)
}
