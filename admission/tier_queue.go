package admission

import (
	"time"

	"github.com/cornelyard/cornelyard/ident"
)

// tierQueue holds the queued requests and the running ones of one tier.
type tierQueue struct {
	name ident.Tier
	rank int
	// queued counts the queued requests of all teams.
	queued  int
	running map[ident.Request]*running

	teams   map[ident.Team]*teamQueue
	order   *teamHeap
	reverse *teamHeap
	clock   *fairClock
}

func newTierQueue(name ident.Tier, rank int, now time.Time) *tierQueue {
	return &tierQueue{
		name:    name,
		rank:    rank,
		running: make(map[ident.Request]*running),
		teams:   make(map[ident.Team]*teamQueue),
		order:   &teamHeap{kind: teamHeapOrder, less: usedLess},
		reverse: &teamHeap{kind: teamHeapReverse, less: usedMore},
		clock:   newFairClock(now),
	}
}

func usedLess(a, b *teamQueue) bool {
	if a.used != b.used {
		return a.used < b.used
	}
	return a.name < b.name
}

func usedMore(a, b *teamQueue) bool { return usedLess(b, a) }

// team returns the queue of a team, made on first use.
func (t *tierQueue) team(name ident.Team, weight float64) *teamQueue {
	team, ok := t.teams[name]
	if !ok {
		team = newTeamQueue(name, t, weight)
		t.teams[name] = team
	}
	return team
}

// add queues a request of a team.
func (t *tierQueue) add(q *queued, team *teamQueue) {
	if team.order.Len() == 0 {
		// A team that was idle starts level with the others: no credit is saved up.
		team.used = max(team.used, t.clock.level)
	}
	q.team = team
	team.order.add(q)
	team.reverse.add(q)
	t.order.add(team)
	t.reverse.add(team)
	t.queued++
}

// remove takes a queued request out.
func (t *tierQueue) remove(q *queued) {
	team := q.team
	team.order.remove(q)
	team.reverse.remove(q)
	t.queued--
	if team.order.Len() == 0 {
		t.order.remove(team)
		t.reverse.remove(team)
	}
}

// first returns the request to serve first, or nil.
func (t *tierQueue) first() *queued {
	team := t.order.first()
	if team == nil {
		return nil
	}
	return team.order.first()
}

// last returns the request to shed first, or nil.
func (t *tierQueue) last() *queued {
	team := t.reverse.first()
	if team == nil {
		return nil
	}
	return team.reverse.first()
}

// charge adds token-seconds, which may be negative, to a team's account.
func (t *tierQueue) charge(now time.Time, team *teamQueue, tokenSeconds float64) {
	if t.clock.mustRescale(now) {
		t.rescale(now)
	}
	team.used += tokenSeconds / team.weight * t.clock.scale(now)
	team.used = max(team.used, 0)
	t.order.fix(team)
	t.reverse.fix(team)
}

// rescale moves the clock's reference to now; the order of teams stays.
func (t *tierQueue) rescale(now time.Time) {
	factor := t.clock.rescale(now)
	for _, team := range t.teams {
		team.used *= factor
	}
}
