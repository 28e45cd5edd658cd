package admission

import (
	"time"

	"github.com/cornelyard/cornelyard/ident"
)

// tierQueue holds the queued and running requests of one tier.
type tierQueue struct {
	name ident.Tier
	rank int

	teams        map[ident.Team]*teamQueue
	serviceOrder *teamHeap
	shedOrder    *teamHeap
	clock        *usageClock
	riskChecks   *requestHeap
	// queued counts the queued requests of all teams.
	queued  int
	backlog backlog
	demand  demand

	running runningList
	// preempting counts the preempted requests that are still running.
	preempting int
	hazard     preemptionHazard
}

func newTierQueue(name ident.Tier, rank int, now time.Time) *tierQueue {
	return &tierQueue{
		name:         name,
		rank:         rank,
		teams:        make(map[ident.Team]*teamQueue),
		serviceOrder: newTeamHeap(teamHeapService, usageLess),
		shedOrder:    newTeamHeap(teamHeapShed, usageMore),
		clock:        newUsageClock(now),
		riskChecks:   newRequestHeap(heapRiskCheck, riskCheckBefore),
		running:      runningList{kind: runningOfTier},
	}
}

func usageLess(a, b *teamQueue) bool {
	if a.decayedUsage != b.decayedUsage {
		return a.decayedUsage < b.decayedUsage
	}
	return a.name < b.name
}

func usageMore(a, b *teamQueue) bool { return usageLess(b, a) }

func riskCheckBefore(a, b *queuedRequest) bool {
	if !a.riskCheckAt.Equal(b.riskCheckAt) {
		return a.riskCheckAt.Before(b.riskCheckAt)
	}
	return a.sequence < b.sequence
}

// team returns the queue of a team, creating it on first use.
func (t *tierQueue) team(name ident.Team, weight float64) *teamQueue {
	team, ok := t.teams[name]
	if !ok {
		team = newTeamQueue(name, t, weight)
		t.teams[name] = team
	}
	return team
}

// enqueue adds a new request. A team with no queued requests is raised to the
// tier's virtual time, so that it saves up no credit while idle.
func (t *tierQueue) enqueue(now time.Time, q *queuedRequest, team *teamQueue) {
	if team.serviceOrder.Len() == 0 {
		team.decayedUsage = max(team.decayedUsage, t.clock.virtualTime)
	}
	q.team = team
	t.insert(q)
	t.riskChecks.add(q)
	t.queued++
	q.backlogBucket = t.backlog.add(now, q.deadline, q.cost)
	t.demand.add(now, q.cost)
}

// dequeue removes a request from the tier.
func (t *tierQueue) dequeue(q *queuedRequest) {
	t.extract(q)
	t.riskChecks.remove(q)
	t.queued--
	t.backlog.remove(q.backlogBucket, q.cost)
}

// insert adds a request to the service and shed orders.
func (t *tierQueue) insert(q *queuedRequest) {
	q.team.serviceOrder.add(q)
	q.team.shedOrder.add(q)
	t.serviceOrder.add(q.team)
	t.shedOrder.add(q.team)
}

// extract removes a request from the service and shed orders. It stays counted
// as queued and may be inserted again.
func (t *tierQueue) extract(q *queuedRequest) {
	q.team.serviceOrder.remove(q)
	q.team.shedOrder.remove(q)
	if q.team.serviceOrder.Len() == 0 {
		t.serviceOrder.remove(q.team)
		t.shedOrder.remove(q.team)
	}
}

// nextToServe returns the request to serve first, or nil: the earliest deadline
// of the team with the least usage.
func (t *tierQueue) nextToServe() *queuedRequest {
	team := t.serviceOrder.peek()
	if team == nil {
		return nil
	}
	return team.serviceOrder.peek()
}

// nextToShed returns the request to shed first, or nil: the latest deadline of
// the team with the most usage.
func (t *tierQueue) nextToShed() *queuedRequest {
	team := t.shedOrder.peek()
	if team == nil {
		return nil
	}
	return team.shedOrder.peek()
}

// continuing returns the number of running requests that are not being
// preempted.
func (t *tierQueue) continuing() int { return len(t.running.items) - t.preempting }

// advanceVirtualTime raises the tier's virtual time to the usage of the team
// that is served next.
func (t *tierQueue) advanceVirtualTime(team *teamQueue) {
	t.clock.virtualTime = max(t.clock.virtualTime, team.decayedUsage)
}

// charge adds token-seconds to a team's usage. A negative amount gives back
// part of an earlier charge.
func (t *tierQueue) charge(now time.Time, team *teamQueue, tokenSeconds float64) {
	if t.clock.needsRescale(now) {
		t.rescale(now)
	}
	team.decayedUsage += tokenSeconds / team.weight * t.clock.growth(now)
	team.decayedUsage = max(team.decayedUsage, 0)
	t.serviceOrder.fix(team)
	t.shedOrder.fix(team)
}

// rescale moves the clock's reference to now and scales the usage of all teams
// alike, which leaves their order unchanged.
func (t *tierQueue) rescale(now time.Time) {
	factor := t.clock.rescale(now)
	for _, team := range t.teams {
		team.decayedUsage *= factor
	}
}
