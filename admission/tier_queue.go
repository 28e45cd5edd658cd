package admission

import (
	"time"

	"github.com/cornelyard/cornelyard/ident"
)

// tierQueue holds the queued requests and the running ones of one tier.
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
	// freeing counts the preempted requests in service.
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

// team returns the queue of a team, made on first use.
func (t *tierQueue) team(name ident.Team, weight float64) *teamQueue {
	team, ok := t.teams[name]
	if !ok {
		team = newTeamQueue(name, t, weight)
		t.teams[name] = team
	}
	return team
}

// enqueue adds a new request of a team. A team that was idle starts level with
// the others: no credit is saved up.
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

// dequeue takes a request out for good.
func (t *tierQueue) dequeue(q *queuedRequest) {
	t.extract(q)
	t.riskChecks.remove(q)
	t.queued--
	t.backlog.remove(q.backlogBucket, q.cost)
}

// insert puts a request into the order of service.
func (t *tierQueue) insert(q *queuedRequest) {
	q.team.serviceOrder.add(q)
	q.team.shedOrder.add(q)
	t.serviceOrder.add(q.team)
	t.shedOrder.add(q.team)
}

// extract takes a request out of the order of service, perhaps for a while.
func (t *tierQueue) extract(q *queuedRequest) {
	q.team.serviceOrder.remove(q)
	q.team.shedOrder.remove(q)
	if q.team.serviceOrder.Len() == 0 {
		t.serviceOrder.remove(q.team)
		t.shedOrder.remove(q.team)
	}
}

// first returns the request to serve first, or nil.
func (t *tierQueue) nextToServe() *queuedRequest {
	team := t.serviceOrder.peek()
	if team == nil {
		return nil
	}
	return team.serviceOrder.peek()
}

// last returns the request to shed first, or nil: the latest deadline of the
// team that used most.
func (t *tierQueue) nextToShed() *queuedRequest {
	team := t.shedOrder.peek()
	if team == nil {
		return nil
	}
	return team.shedOrder.peek()
}

// serving counts the requests in service that were not ordered to stop.
func (t *tierQueue) continuing() int { return len(t.running.items) - t.preempting }

// served notes that a request of the team is served next.
func (t *tierQueue) advanceVirtualTime(team *teamQueue) {
	t.clock.virtualTime = max(t.clock.virtualTime, team.decayedUsage)
}

// charge adds token-seconds, which may be negative, to a team's account.
func (t *tierQueue) charge(now time.Time, team *teamQueue, tokenSeconds float64) {
	if t.clock.needsRescale(now) {
		t.rescale(now)
	}
	team.decayedUsage += tokenSeconds / team.weight * t.clock.growth(now)
	team.decayedUsage = max(team.decayedUsage, 0)
	t.serviceOrder.fix(team)
	t.shedOrder.fix(team)
}

// rescale moves the clock's reference to now; the order of teams stays.
func (t *tierQueue) rescale(now time.Time) {
	factor := t.clock.rescale(now)
	for _, team := range t.teams {
		team.decayedUsage *= factor
	}
}
