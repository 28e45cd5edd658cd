package admission

import (
	"sort"
	"time"

	"github.com/cornelyard/cornelyard/ident"
	"github.com/cornelyard/cornelyard/settings"
)

// Configure brings declarations into force. Requests in service stay, also on
// targets that are no longer declared.
func (s *Scheduler) Configure(now time.Time, c Config) {
	s.pool = c.Pool
	s.configureTiers(now, c.Tiers)
	s.configureTargets(c.Targets)
}

func (s *Scheduler) configureTiers(now time.Time, tiers []settings.Tier) {
	for _, declared := range tiers {
		tier := s.tierOf(declared.Name, now)
		tier.rank = declared.Rank
	}
	for _, tier := range s.tiers {
		for _, team := range tier.teams {
			team.weight = s.weight(team.name)
		}
	}
	s.sortTiers()
}

// tierOf returns the queue of a tier; one that is not declared ranks last.
func (s *Scheduler) tierOf(name ident.Tier, now time.Time) *tierQueue {
	tier := s.byTier[name]
	if tier == nil {
		tier = newTierQueue(name, undeclaredRank, now)
		s.byTier[name] = tier
		s.tiers = append(s.tiers, tier)
		s.sortTiers()
	}
	return tier
}

// undeclaredRank is the rank of a tier that is known from a report only.
const undeclaredRank = 1 << 20

func (s *Scheduler) sortTiers() {
	sort.SliceStable(s.tiers, func(i, j int) bool { return s.tiers[i].rank < s.tiers[j].rank })
}

func (s *Scheduler) configureTargets(targets []settings.Target) {
	for _, target := range s.targets {
		target.declared = false
	}
	for _, declared := range targets {
		target := s.byTarget[declared.Name]
		if target == nil {
			s.addTarget(newTargetState(declared))
			continue
		}
		s.redeclare(target, declared)
	}
	s.dropTargets()
}

// redeclare updates a target; another address means another process, which may
// be asked for new work again.
func (s *Scheduler) redeclare(target *targetState, declared settings.Target) {
	if target.settings.Address != declared.Address {
		target.refusing = false
	}
	target.settings = declared
	target.declared = true
}

func (s *Scheduler) addTarget(target *targetState) {
	s.byTarget[target.settings.Name] = target
	s.targets = append(s.targets, target)
	sort.Slice(s.targets, func(i, j int) bool {
		return s.targets[i].settings.Name < s.targets[j].settings.Name
	})
}

// undeclaredTarget makes a target that is known from an entry's report only.
func (s *Scheduler) undeclaredTarget(name ident.Target) *targetState {
	target := newTargetState(settings.Target{Name: name})
	target.declared = false
	s.addTarget(target)
	return target
}

// dropTargets forgets targets that are neither declared nor in use.
func (s *Scheduler) dropTargets() {
	kept := s.targets[:0]
	for _, target := range s.targets {
		if target.declared || len(target.running) > 0 {
			kept = append(kept, target)
			continue
		}
		delete(s.byTarget, target.settings.Name)
	}
	clear(s.targets[len(kept):])
	s.targets = kept
}
