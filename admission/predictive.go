package admission

import (
	"time"

	"github.com/cornelyard/cornelyard/routing"
)

// predictive is the default policy: strict tiers, fair teams, late binding by
// predicted finish, early shedding and preemption in time.
type predictive struct {
	scheduler *Scheduler
	router    *routing.Router
	// aside holds the requests that wait for a better target in this decision.
	deferred []*queuedRequest
	// waiting says that a free slot was left to wait for a better one.
	recheckSoon bool
	// shed is when a request was last given up for want of capacity.
	lastShed time.Time
}

func newPredictive(s *Scheduler) *predictive {
	return &predictive{
		scheduler: s,
		router:    s.newRouter(routing.PredictedFinish{Prefixes: s.prefixes}),
	}
}

// deferralRecheck is how soon a decision to wait for a better target is looked
// at again.
const deferralRecheckInterval = 50 * time.Millisecond

func (p *predictive) onEnqueue(now time.Time, q *queuedRequest) {
	pace, ok := p.plan(now, q)
	if !ok || !p.predictionsMature() {
		return
	}
	if now.Add(pace.Idle).After(q.deadline) {
		p.scheduler.forwardOrRefuseInfeasible(now, q)
		return
	}
	q.latestStart = q.deadline.Add(-pace.Loaded)
	p.scheduler.latestStarts.fix(q)
}

func (p *predictive) onDequeue(*queuedRequest) {}

func (p *predictive) decide(now time.Time, actions []Action) []Action {
	p.prepareTargets(now)
	actions = p.grantReserved(now, actions)
	actions = p.grantFreeSlots(now, actions)
	actions = p.refuseUnmeetable(now, actions)
	actions = p.enforceQueueLimit(now, actions)
	actions = p.shedBeyondWait(now, actions)
	return p.preemptForDeadlines(now, actions)
}

func (p *predictive) nextWake(now time.Time) time.Time {
	var wake time.Time
	if p.recheckSoon {
		wake = now.Add(deferralRecheckInterval)
	}
	for i, tier := range p.scheduler.tiers {
		q := tier.riskChecks.peek()
		if q == nil || !p.lowerTierRunning(i) {
			continue
		}
		if wake.IsZero() || q.riskCheckAt.Before(wake) {
			wake = q.riskCheckAt
		}
	}
	return wake
}

// trusted says whether enough was learned to refuse on a prediction.
func (p *predictive) predictionsMature() bool { return p.scheduler.estimator.Mature() }

// refresh prepares the targets for a decision.
func (p *predictive) prepareTargets(now time.Time) {
	p.recheckSoon = false
	for _, target := range p.scheduler.targets {
		target.Promised = 0
		if target.InService > 0 && target.NextFree.Before(now) {
			target.updateNextFree(now)
		}
	}
}

// plan chooses the answer length that a request is planned with: the middle of
// the estimate, or its low end if the pool, as it is loaded, would not do more in
// time.
func (p *predictive) plan(now time.Time, q *queuedRequest) (routing.Pace, bool) {
	p.router.Prepare(&q.work)
	s := p.scheduler
	pace, ok := p.router.Fastest(now, &q.work, s.routingTargets, q.length.Mid, q.length.Low)
	if !ok || q.meetsDeadline(now, pace.Loaded) {
		return pace, ok
	}
	p.planOptimistically(q)
	return p.router.Fastest(now, &q.work, s.routingTargets, q.length.Low, q.length.Low)
}

// hope plans a request with the low end of the estimate, without reserve.
func (p *predictive) planOptimistically(q *queuedRequest) {
	q.optimistic = true
	q.work.Length.Mid = q.length.Low
}

// below says whether a tier lower than that of index i is queued or served.
func (p *predictive) lowerTierActive(i int) bool {
	for _, tier := range p.scheduler.tiers[i+1:] {
		if tier.queued > 0 || tier.continuing() > 0 {
			return true
		}
	}
	return false
}

// servingBelow says whether a tier lower than that of index i is served.
func (p *predictive) lowerTierRunning(i int) bool {
	for _, tier := range p.scheduler.tiers[i+1:] {
		if tier.continuing() > 0 {
			return true
		}
	}
	return false
}

// index returns the place of the request's tier.
func (p *predictive) tierIndex(q *queuedRequest) int {
	for i, tier := range p.scheduler.tiers {
		if tier == q.team.tier {
			return i
		}
	}
	return len(p.scheduler.tiers)
}
