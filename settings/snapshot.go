package settings

import (
	"cmp"
	"slices"

	"github.com/cornelyard/cornelyard/ident"
)

// Snapshot is an immutable, indexed version of all declarations. Its maps and slices
// must not be modified.
type Snapshot struct {
	// Version is the settings version; the first accepted change creates version 1.
	Version uint64
	Tiers   map[ident.Tier]*Tier
	Pools   map[ident.Pool]*Pool
	Targets map[ident.Target]*Target
	Teams   map[ident.Team]*Team

	callers map[string]ident.Team
	admins  map[string]ident.Team
	models  map[string]ident.Pool
	targets map[poolLocation][]*Target
}

// NewSnapshot indexes the declarations, which must be valid.
func NewSnapshot(version uint64, tiers []*Tier, pools []*Pool, targets []*Target, teams []*Team) *Snapshot {
	s := newSnapshot(version, len(teams))
	for _, tier := range tiers {
		s.Tiers[tier.Name] = tier
	}
	for _, pool := range pools {
		s.Pools[pool.Name] = pool
	}
	for _, target := range targets {
		s.Targets[target.Name] = target
	}
	for _, team := range teams {
		s.Teams[team.Name] = team
	}
	s.index()
	return s
}

func newSnapshot(version uint64, teams int) *Snapshot {
	return &Snapshot{
		Version: version,
		Tiers:   make(map[ident.Tier]*Tier),
		Pools:   make(map[ident.Pool]*Pool),
		Targets: make(map[ident.Target]*Target),
		Teams:   make(map[ident.Team]*Team, teams),
		callers: make(map[string]ident.Team, teams),
		admins:  make(map[string]ident.Team, teams),
		models:  make(map[string]ident.Pool),
		targets: make(map[poolLocation][]*Target),
	}
}

// add adds the entry's declaration.
func (s *Snapshot) add(e *treeEntry) {
	switch {
	case e.tier != nil:
		s.Tiers[e.tier.Name] = e.tier
	case e.pool != nil:
		s.Pools[e.pool.Name] = e.pool
	case e.target != nil:
		s.Targets[e.target.Name] = e.target
	case e.team != nil:
		s.Teams[e.team.Name] = e.team
	}
}

// index builds the lookup maps from the declarations.
func (s *Snapshot) index() {
	for _, pool := range s.Pools {
		if pool.Kind == EnginePool {
			s.models[pool.Model] = pool.Name
		}
	}
	for _, team := range s.Teams {
		for _, hash := range team.CallerTokenHashes {
			s.callers[hash] = team.Name
		}
		for _, hash := range team.AdminTokenHashes {
			s.admins[hash] = team.Name
		}
	}
	for _, target := range s.Targets {
		location := poolLocation{pool: target.Pool, dc: target.DataCentre}
		s.targets[location] = append(s.targets[location], target)
	}
	for _, targets := range s.targets {
		slices.SortFunc(targets, func(a, b *Target) int { return cmp.Compare(a.Name, b.Name) })
	}
}

// CallerTeam returns the team that declares the caller token with that hash.
func (s *Snapshot) CallerTeam(tokenHash string) (ident.Team, bool) {
	team, ok := s.callers[tokenHash]
	return team, ok
}

// AdminTeam returns the team that declares the admin token with that hash.
func (s *Snapshot) AdminTeam(tokenHash string) (ident.Team, bool) {
	team, ok := s.admins[tokenHash]
	return team, ok
}

// ModelPool returns the engine pool that serves the model.
func (s *Snapshot) ModelPool(model string) (ident.Pool, bool) {
	pool, ok := s.models[model]
	return pool, ok
}

// PoolTargets returns the targets of a pool in one data centre, sorted by name.
func (s *Snapshot) PoolTargets(pool ident.Pool, dc ident.DataCentre) []*Target {
	return s.targets[poolLocation{pool: pool, dc: dc}]
}
