package route

import (
	"cmp"
	"slices"
	"strings"

	"github.com/cornelyard/cornelyard/ident"
)

// Table is one version of the operator's configuration.
type Table struct {
	// Version orders the configurations; a later one has a higher version.
	Version uint64
	Limits  Limits
	Pools   map[ident.Pool]*Pool
	Teams   []*Team

	byHost map[string][]*Route
	byKey  map[string]*Team
	// keyed says that requests need a key at all.
	keyed bool
}

// NewTable builds the indexes of a configuration.
func NewTable(version uint64, limits Limits, routes []*Route, pools []*Pool, teams []*Team) *Table {
	t := &Table{
		Version: version,
		Limits:  limits,
		Pools:   make(map[ident.Pool]*Pool, len(pools)),
		Teams:   teams,
		byHost:  make(map[string][]*Route),
		byKey:   make(map[string]*Team),
		keyed:   len(teams) > 0,
	}
	for _, p := range pools {
		t.Pools[p.Name] = p
	}
	for _, r := range routes {
		name := strings.ToLower(r.HostName)
		t.byHost[name] = append(t.byHost[name], r)
	}
	for _, list := range t.byHost {
		slices.SortStableFunc(list, longerPrefixFirst)
	}
	for _, team := range teams {
		for _, key := range team.Keys {
			t.byKey[key] = team
		}
	}
	return t
}

func longerPrefixFirst(a, b *Route) int {
	return cmp.Compare(len(b.PathPrefix), len(a.PathPrefix))
}

// Match returns the route of a request, the one with the longest prefix, or nil.
// The host name may carry a port; the path is escaped and has no query.
func (t *Table) Match(hostName, path string) *Route {
	for _, r := range t.byHost[bareHostName(hostName)] {
		if strings.HasPrefix(path, r.PathPrefix) {
			return r
		}
	}
	return nil
}

func bareHostName(hostName string) string {
	name := strings.ToLower(hostName)
	if colon := strings.LastIndexByte(name, ':'); colon >= 0 && !strings.HasSuffix(name, "]") {
		name = name[:colon]
	}
	return name
}

// Authenticate returns the team that holds the key. It returns false if the route
// needs a key and this is none; a public route has no team.
func (t *Table) Authenticate(r *Route, key string) (*Team, bool) {
	if !t.keyed || r.Public {
		return nil, true
	}
	team, ok := t.byKey[key]
	return team, ok
}

// ChoosePool returns the pool for a request; draw is in [0, 1).
func (r *Route) ChoosePool(draw float64) ident.Pool {
	total := 0.0
	for _, s := range r.WeightedPools {
		total += s.Weight
	}
	rest := draw * total
	for _, s := range r.WeightedPools {
		if s.Weight <= 0 {
			continue
		}
		if rest < s.Weight {
			return s.Pool
		}
		rest -= s.Weight
	}
	return r.WeightedPools[len(r.WeightedPools)-1].Pool
}
