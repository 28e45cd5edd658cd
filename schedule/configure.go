package schedule

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/cornelyard/cornelyard/ident"
	"github.com/cornelyard/cornelyard/route"
)

// Configure applies the configured pools and the announced targets. Running requests
// are not moved.
func (s *Scheduler) Configure(now time.Time, pools map[ident.Pool]*route.Pool, snapshot *route.TargetSnapshot) {
	s.confirmCrashes(now, snapshot)
	for name, configured := range pools {
		s.poolOf(name).configure(configured.Engine)
	}
	for _, t := range s.targets {
		t.announced = false
	}
	for _, name := range s.inOrderOfHost(slices.Collect(maps.Keys(snapshot.Targets))) {
		s.configureTarget(now, name, snapshot.Targets[name])
	}
	for _, t := range s.targets {
		if !t.announced && t.running == 0 {
			s.removeTarget(t)
		}
	}
	s.recordVersions(now)
	s.divideTargets()
	s.rebuildAggregates()
}

// inOrderOfHost orders targets by a hash of their names and that of this host. Of targets that
// cost the same, a host selects the first, so the order is the same in each run but differs
// between hosts.
func (s *Scheduler) inOrderOfHost(names []ident.Target) []ident.Target {
	weights := make(map[ident.Target]uint64, len(names))
	for _, name := range names {
		weights[name] = xxhash.Sum64String(string(s.host) + "\x00" + string(name))
	}
	slices.SortFunc(names, func(a, b ident.Target) int {
		return cmp.Or(cmp.Compare(weights[a], weights[b]), cmp.Compare(a, b))
	})
	return names
}

func (s *Scheduler) configureTarget(now time.Time, name ident.Target, announced route.Target) {
	t := s.targets[name]
	if t != nil && t.Pool != announced.Pool {
		s.removeTarget(t)
		t = nil
	}
	if t == nil {
		t = &target{Target: announced, peersMissing: s.peersMissing}
		s.targets[name] = t
		p := s.poolOf(announced.Pool)
		p.targets = append(p.targets, t)
	}
	if t.StartUnixMs != announced.StartUnixMs || t.Address != announced.Address {
		t.health = health{}
		t.connections = connections{}
		t.speeds = Speeds{}
		t.forgetMachine()
		t.lostAt = time.Time{}
		t.leaving, t.pausedUntil = false, time.Time{}
		t.brittleUntil, t.brittleHeardAt = time.Time{}, time.Time{}
		s.forgetPrefixes(t)
	}
	s.forgetLimit(now, t, announced.StartUnixMs)
	t.Target = announced
	t.announced = true
	t.isEngine = s.pools[announced.Pool].engine != nil
}

// removeTarget removes a target, unless another one has taken its name.
func (s *Scheduler) removeTarget(t *target) {
	if s.targets[t.Name] != t {
		return
	}
	delete(s.targets, t.Name)
	p := s.pools[t.Pool]
	for i := range p.targets {
		if p.targets[i] == t {
			p.targets = append(p.targets[:i], p.targets[i+1:]...)
			break
		}
	}
	s.forgetPrefixes(t)
}

func (s *Scheduler) poolOf(name ident.Pool) *pool {
	p := s.pools[name]
	if p == nil {
		p = newPool(name, s.fairShares)
		p.shares.rated = s.ratedHosts()
		s.pools[name] = p
		at, _ := slices.BinarySearchFunc(s.poolOrder, name, func(p *pool, name ident.Pool) int { return cmp.Compare(p.name, name) })
		s.poolOrder = slices.Insert(s.poolOrder, at, p)
	}
	return p
}
