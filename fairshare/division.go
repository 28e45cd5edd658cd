package fairshare

import (
	"cmp"
	"slices"
)

const (
	// minTeamRankRatio is the least fraction of the demand of teams of one priority that is granted,
	// relative to that of all demand, and minRouteRankRatio the least one of routes of one priority,
	// relative to that of their teams. They keep lower ranks from starving. The first is larger: a
	// few long streams of urgent teams would otherwise take the place of many urgent requests.
	minTeamRankRatio  = 0.5
	minRouteRankRatio = 0.25
)

// division divides a capacity, in slots, among rates that are ordered by rank. The demand is
// multiplied by scale.
type division struct {
	scale float64
}

// divideTeamRanks divides the capacity among the priorities of teams, the most urgent first.
func (d division) divideTeamRanks(ordered []*rate, capacity float64) {
	groups := groupBy(ordered, func(k Key) int { return k.TeamRank })
	d.divideByRank(groups, minTeamRankRatio, capacity, d.divideRouteRanks)
}

// divideRouteRanks divides the capacity of the teams of one priority among the priorities of
// routes.
func (d division) divideRouteRanks(ordered []*rate, capacity float64) {
	groups := groupBy(ordered, func(k Key) int { return k.RouteRank })
	d.divideByRank(groups, minRouteRankRatio, capacity, d.divideTeams)
}

// divideByRank divides a capacity among groups, the most urgent first. Each is granted at least the
// given ratio of the fraction that is granted of all of them.
func (d division) divideByRank(groups [][]*rate, minRatio, capacity float64, divideGroup func([]*rate, float64)) {
	all := 0.0
	for _, group := range groups {
		all += demandOf(group, d.scale)
	}
	least := minRatio * min(capacity/max(all, minRate), 1)
	left := capacity - least*all
	for _, group := range groups {
		demand := demandOf(group, d.scale)
		granted := min(least*demand+left, demand)
		left -= granted - least*demand
		divideGroup(group, granted)
	}
}

// divideTeams sets the fractions of the teams of a rank by max-min fairness.
func (d division) divideTeams(rank []*rate, capacity float64) {
	byDemand := slices.Clone(rank)
	slices.SortFunc(byDemand, func(a, b *rate) int {
		return cmp.Or(cmp.Compare(a.total(d.scale), b.total(d.scale)), a.key.compare(b.key))
	})
	for i, team := range byDemand {
		demand := team.total(d.scale)
		granted := min(demand, capacity/float64(len(byDemand)-i))
		team.fraction = granted / max(demand, minRate)
		capacity -= granted
	}
}

func demandOf(rates []*rate, scale float64) float64 {
	sum := 0.0
	for _, r := range rates {
		sum += r.total(scale)
	}
	return sum
}

// groupBy splits rates that are ordered by key where a part of the key changes.
func groupBy(ordered []*rate, part func(Key) int) [][]*rate {
	var groups [][]*rate
	for i, r := range ordered {
		if i == 0 || part(r.key) != part(ordered[i-1].key) {
			groups = append(groups, nil)
		}
		groups[len(groups)-1] = append(groups[len(groups)-1], r)
	}
	return groups
}
