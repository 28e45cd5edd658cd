package admission

import (
	"slices"
	"sort"
	"time"

	"github.com/cornelyard/cornelyard/ident"
	"github.com/cornelyard/cornelyard/routing"
	"github.com/cornelyard/cornelyard/settings"
)

// Configure brings declarations into force. Requests in service stay, also on
// targets that are no longer declared.
func (s *Scheduler) Configure(now time.Time, c Config) {
	policyChanged := s.pool.Policy != c.Pool.Policy
	s.pool = c.Pool
	s.configureTiers(now, c.Tiers)
	s.configureTargets(c.Targets)
	if policyChanged {
		s.changeDiscipline(now)
	}
}

// changeDiscipline hands all queued requests to the new policy.
func (s *Scheduler) changeDiscipline(now time.Time) {
	all := s.queuedInSequence()
	for _, q := range all {
		s.discipline.dequeued(q)
		q.bound = nil
		q.giveUp = q.deadline
		s.giveUp.fix(q)
	}
	s.discipline = newDiscipline(s, s.pool.Policy)
	for _, q := range all {
		s.discipline.enqueued(now, q)
	}
}

func (s *Scheduler) queuedInSequence() []*queued {
	all := make([]*queued, 0, len(s.queue))
	for _, q := range s.queue {
		all = append(all, q)
	}
	slices.SortFunc(all, func(a, b *queued) int { return int(a.sequence) - int(b.sequence) })
	return all
}

func (s *Scheduler) configureTiers(now time.Time, tiers []settings.Tier) {
	for _, tier := range s.tiers {
		tier.rank = undeclaredRank
	}
	for _, declared := range tiers {
		s.tierOf(now, declared.Name).rank = declared.Rank
	}
	for _, tier := range s.tiers {
		for _, team := range tier.teams {
			team.weight = s.weight(team.name)
		}
	}
	s.sortTiers()
}

// undeclaredRank is the rank of a tier that is known from requests only: it is
// served last.
const undeclaredRank = 1 << 20

// tierOf returns the queue of a tier, made on first use.
func (s *Scheduler) tierOf(now time.Time, name ident.Tier) *tierQueue {
	tier := s.byTier[name]
	if tier == nil {
		tier = newTierQueue(name, undeclaredRank, now)
		s.byTier[name] = tier
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
		target := s.byTarget[declared.Name]
		if target == nil {
			target = s.addTarget(declared)
		}
		s.redeclare(target, declared)
	}
	for _, target := range s.targets {
		target.updateLeaving()
	}
	s.dropTargets()
}

// redeclare updates a target. Another address means another process, of which
// nothing is known.
func (s *Scheduler) redeclare(target *targetState, declared settings.Target) {
	if target.settings.Address != declared.Address {
		s.renew(target)
	}
	target.settings = declared
	target.declared = true
	target.Limit.Configure(declared.Slots, s.pool.TokenGap.Std())
}

func (s *Scheduler) renew(target *targetState) {
	target.refusing = false
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
		settings: declared,
		running:  runningList{kind: runningOfTarget},
		bound:    newRequestHeap(heapArrival, (*queued).arrivedBefore),
	}
	s.byTarget[declared.Name] = target
	s.targets = append(s.targets, target)
	sort.Slice(s.targets, func(i, j int) bool { return s.targets[i].Name < s.targets[j].Name })
	s.updateRoutes()
	return target
}

// targetOf returns a target; one that is known from a report only takes no new
// work.
func (s *Scheduler) targetOf(name ident.Target) *targetState {
	if target := s.byTarget[name]; target != nil {
		return target
	}
	target := s.addTarget(settings.Target{Name: name})
	target.updateLeaving()
	return target
}

// dropTargets forgets targets that are neither declared nor in use.
func (s *Scheduler) dropTargets() {
	s.targets = slices.DeleteFunc(s.targets, func(target *targetState) bool {
		if target.declared || target.InService > 0 || target.bound.Len() > 0 {
			return false
		}
		s.prefixes.RemoveTarget(target.Target)
		delete(s.byTarget, target.Name)
		return true
	})
	s.updateRoutes()
}

func (s *Scheduler) updateRoutes() {
	s.routes = s.routes[:0]
	for _, target := range s.targets {
		s.routes = append(s.routes, target.Target)
	}
}
