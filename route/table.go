package route

import (
	"cmp"
	"slices"
	"strings"
	"time"

	"github.com/cornelyard/cornelyard/ident"
)

// Table is one version of the operator's configuration.
type Table struct {
	// Version is higher for a later configuration.
	Version uint64
	Limits  Limits
	Pools   map[ident.Pool]*Pool
	Teams   []*Team

	routesByHost map[string][]*Route
	teamsByKey   map[string]*Team
	// requiresKey is set if any team is configured. Otherwise no request needs a key.
	requiresKey bool
}

// LongestTimeout returns the longest timeout of a route, or zero if a route has none.
func (t *Table) LongestTimeout() time.Duration {
	longest := time.Duration(0)
	for _, routes := range t.routesByHost {
		for _, r := range routes {
			if r.Timeout == 0 {
				return 0
			}
			longest = max(longest, r.Timeout)
		}
	}
	return longest
}

// NewTable returns a configuration with its lookup indexes.
func NewTable(version uint64, limits Limits, routes []*Route, pools []*Pool, teams []*Team) *Table {
	t := &Table{
		Version:      version,
		Limits:       limits,
		Pools:        make(map[ident.Pool]*Pool, len(pools)),
		Teams:        teams,
		routesByHost: make(map[string][]*Route),
		teamsByKey:   make(map[string]*Team),
		requiresKey:  len(teams) > 0,
	}
	for _, p := range pools {
		t.Pools[p.Name] = p
	}
	for _, r := range routes {
		name := strings.ToLower(r.HostName)
		t.routesByHost[name] = append(t.routesByHost[name], r)
	}
	for _, list := range t.routesByHost {
		slices.SortStableFunc(list, longerPrefixFirst)
	}
	for _, team := range teams {
		for _, key := range team.Keys {
			t.teamsByKey[key] = team
		}
	}
	return t
}

func longerPrefixFirst(a, b *Route) int {
	return cmp.Compare(len(b.PathPrefix), len(a.PathPrefix))
}

// Match returns the route with the longest prefix of the path, or nil if there is none.
// The host name may include a port. The path is escaped and has no query.
func (t *Table) Match(hostName, path string) *Route {
	for _, r := range t.routesByHost[normalizeHostName(hostName)] {
		if strings.HasPrefix(path, r.PathPrefix) {
			return r
		}
	}
	return nil
}

func normalizeHostName(hostName string) string {
	name := strings.ToLower(hostName)
	if colon := strings.LastIndexByte(name, ':'); colon >= 0 && !strings.HasSuffix(name, "]") {
		name = name[:colon]
	}
	return name
}

// Authenticate returns the team that owns the key. It returns false if the route needs
// a key and this one is unknown. The team is nil if the route needs none.
func (t *Table) Authenticate(r *Route, key string) (*Team, bool) {
	if !t.requiresKey || r.Public {
		return nil, true
	}
	team, ok := t.teamsByKey[key]
	return team, ok
}

// ChoosePool selects a pool in proportion to the weights; random is in [0, 1).
func (r *Route) ChoosePool(random float64) ident.Pool {
	total := 0.0
	for _, p := range r.WeightedPools {
		total += p.Weight
	}
	remaining := random * total
	for _, p := range r.WeightedPools {
		if p.Weight <= 0 {
			continue
		}
		if remaining < p.Weight {
			return p.Pool
		}
		remaining -= p.Weight
	}
	return r.WeightedPools[len(r.WeightedPools)-1].Pool
}
