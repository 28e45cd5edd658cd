package settings

import (
	"sort"

	"github.com/cornelyard/cornelyard/ident"
)

// Snapshot is one immutable version of all declarations. Its maps must not be
// changed by anyone.
type Snapshot struct {
	// Version counts accepted changes from 1.
	Version uint64
	Tiers   map[ident.Tier]*Tier
	Pools   map[ident.Pool]*Pool
	Targets map[ident.Target]*Target
	Teams   map[ident.Team]*Team

	callers map[string]ident.Team
	models  map[string]ident.Pool
}

// NewSnapshot indexes the declarations; the caller has checked them.
func NewSnapshot(version uint64, tiers []*Tier, pools []*Pool, targets []*Target, teams []*Team) *Snapshot {
	s := &Snapshot{
		Version: version,
		Tiers:   make(map[ident.Tier]*Tier, len(tiers)),
		Pools:   make(map[ident.Pool]*Pool, len(pools)),
		Targets: make(map[ident.Target]*Target, len(targets)),
		Teams:   make(map[ident.Team]*Team, len(teams)),
		callers: make(map[string]ident.Team),
		models:  make(map[string]ident.Pool, len(pools)),
	}
	for _, tier := range tiers {
		s.Tiers[tier.Name] = tier
	}
	for _, pool := range pools {
		s.Pools[pool.Name] = pool
		if pool.Kind == EnginePool {
			s.models[pool.Model] = pool.Name
		}
	}
	for _, target := range targets {
		s.Targets[target.Name] = target
	}
	for _, team := range teams {
		s.Teams[team.Name] = team
		for _, hash := range team.CallerTokenHashes {
			s.callers[hash] = team.Name
		}
	}
	return s
}

// CallerTeam returns the team that the hash of a caller's token belongs to.
func (s *Snapshot) CallerTeam(tokenHash string) (ident.Team, bool) {
	team, ok := s.callers[tokenHash]
	return team, ok
}

// ModelPool returns the pool that serves the model.
func (s *Snapshot) ModelPool(model string) (ident.Pool, bool) {
	pool, ok := s.models[model]
	return pool, ok
}

// PoolTargets returns the targets of a pool in one data centre, sorted by name.
func (s *Snapshot) PoolTargets(pool ident.Pool, dc ident.DataCentre) []*Target {
	var found []*Target
	for _, target := range s.Targets {
		if target.Pool == pool && target.DataCentre == dc {
			found = append(found, target)
		}
	}
	sort.Slice(found, func(i, j int) bool { return found[i].Name < found[j].Name })
	return found
}
