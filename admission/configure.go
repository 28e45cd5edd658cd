package admission

import (
	"slices"
	"sort"
	"time"

	"github.com/cornelyard/cornelyard/ident"
	"github.com/cornelyard/cornelyard/routing"
	"github.com/cornelyard/cornelyard/settings"
)

// Configure applies a new configuration. Running requests stay, also on targets
// that are no longer declared.
func (s *Scheduler) Configure(now time.Time, c Config) {
	policyChanged := s.pool.Policy != c.Pool.Policy
	s.pool = c.Pool
	s.configureTiers(now, c.Tiers)
	s.configureTargets(c.Targets)
	if policyChanged {
		s.switchPolicy(now)
	}
}

// switchPolicy replaces the scheduling policy and passes all queued requests to
// the new one.
func (s *Scheduler) switchPolicy(now time.Time) {
	all := s.queuedByArrival()
	for _, q := range all {
		s.policy.onDequeue(q)
		q.boundTarget = nil
		q.latestStart = q.deadline
		s.latestStarts.fix(q)
	}
	s.policy = newSchedulingPolicy(s, s.pool.Policy)
	for _, q := range all {
		s.policy.onEnqueue(now, q)
	}
}

func (s *Scheduler) queuedByArrival() []*queuedRequest {
	all := make([]*queuedRequest, 0, len(s.queue))
	for _, q := range s.queue {
		all = append(all, q)
	}
	slices.SortFunc(all, func(a, b *queuedRequest) int { return int(a.sequence) - int(b.sequence) })
	return all
}

func (s *Scheduler) configureTiers(now time.Time, tiers []settings.Tier) {
	for _, tier := range s.tiers {
		tier.rank = undeclaredRank
	}
	for _, declared := range tiers {
		s.tierOrNew(now, declared.Name).rank = declared.Rank
	}
	for _, tier := range s.tiers {
		for _, team := range tier.teams {
			team.weight = s.teamWeight(team.name)
		}
	}
	s.sortTiers()
}

// undeclaredRank is the rank of a tier that appears in requests but not in the
// configuration: it is served last.
const undeclaredRank = 1 << 20

// tierOrNew returns the queue of a tier, creating it on first use.
func (s *Scheduler) tierOrNew(now time.Time, name ident.Tier) *tierQueue {
	tier := s.tierByName[name]
	if tier == nil {
		tier = newTierQueue(name, undeclaredRank, now)
		s.tierByName[name] = tier
		s.tiers = append(s.tiers, tier)
		s.sortTiers()
	}
	return tier
}

func (s *Scheduler) sortTiers() {
	sort.SliceStable(s.tiers, func(i, j int) bool { return s.tiers[i].rank < s.tiers[j].rank })
}

func (s *Scheduler) configureTargets(targets []settings.Target) {
	for _, target := range s.targets {
		target.declared = false
	}
	for _, declared := range targets {
		target := s.targetByName[declared.Name]
		if target == nil {
			target = s.addTarget(declared)
		}
		s.updateTarget(target, declared)
	}
	for _, target := range s.targets {
		target.updateDraining()
	}
	s.removeUnusedTargets()
}

// updateTarget applies a target's declaration. A new address means a different
// process, so what was learned about the old one is reset.
func (s *Scheduler) updateTarget(target *targetState, declared settings.Target) {
	if target.settings.Address != declared.Address {
		s.resetTarget(target)
	}
	target.settings = declared
	target.declared = true
	target.Limit.Configure(declared.Slots, s.pool.TokenGap.Std())
}

func (s *Scheduler) resetTarget(target *targetState) {
	target.refusesWork = false
	target.Breaker.RecordSuccess()
	target.Estimator = s.newEstimator()
	s.prefixes.RemoveTarget(target.Target)
}

func (s *Scheduler) newEstimator() *routing.Estimator {
	estimator := routing.NewEstimator()
	estimator.SetPriorFrom(s.estimator)
	return estimator
}

func (s *Scheduler) addTarget(declared settings.Target) *targetState {
	target := &targetState{
		Target: &routing.Target{
			Name:      declared.Name,
			Estimator: s.newEstimator(),
			Limit:     routing.NewSlotLimit(declared.Slots, s.pool.TokenGap.Std()),
			Breaker:   routing.NewCircuitBreaker(s.random),
		},
		settings:      declared,
		running:       runningList{kind: runningOfTarget},
		boundRequests: newRequestHeap(heapArrival, (*queuedRequest).arrivedBefore),
	}
	s.targetByName[declared.Name] = target
	s.targets = append(s.targets, target)
	sort.Slice(s.targets, func(i, j int) bool { return s.targets[i].Name < s.targets[j].Name })
	s.rebuildRoutingTargets()
	return target
}

// targetOrNew returns a target, creating it if needed. A target known only from
// an entry's report accepts no new work.
func (s *Scheduler) targetOrNew(name ident.Target) *targetState {
	if target := s.targetByName[name]; target != nil {
		return target
	}
	target := s.addTarget(settings.Target{Name: name})
	target.updateDraining()
	return target
}

// removeUnusedTargets removes targets that are neither declared nor in use.
func (s *Scheduler) removeUnusedTargets() {
	s.targets = slices.DeleteFunc(s.targets, func(target *targetState) bool {
		if target.declared || target.RunningRequests > 0 || target.boundRequests.Len() > 0 {
			return false
		}
		s.prefixes.RemoveTarget(target.Target)
		delete(s.targetByName, target.Name)
		return true
	})
	s.rebuildRoutingTargets()
}

func (s *Scheduler) rebuildRoutingTargets() {
	s.routingTargets = s.routingTargets[:0]
	for _, target := range s.targets {
		s.routingTargets = append(s.routingTargets, target.Target)
	}
}
