package admission

import (
	"time"

	"github.com/cornelyard/cornelyard/routing"
)

// predictive is the default policy. It serves tiers in strict order of rank and
// teams by weighted fair sharing, chooses the target with the earliest
// predicted finish when a slot is free, refuses requests early that cannot meet
// their deadline, and preempts lower tiers for requests whose deadline is at
// risk.
type predictive struct {
	scheduler *Scheduler
	router    *routing.Router
	// deferred holds the requests that this decision skips so that they wait
	// for a better target. They are put back at its end.
	deferred []*queuedRequest
	// recheckSoon says that a request was deferred, so the next decision is due
	// after deferralRecheckInterval.
	recheckSoon bool
	// lastShed is when a request was last refused for lack of capacity.
	lastShed time.Time
}

func newPredictive(s *Scheduler) *predictive {
	return &predictive{
		scheduler: s,
		router:    s.newRouter(routing.PredictedFinish{Prefixes: s.prefixes}),
	}
}

// deferralRecheckInterval is how soon a deferred request is considered again.
const deferralRecheckInterval = 50 * time.Millisecond

func (p *predictive) onEnqueue(now time.Time, q *queuedRequest) {
	fastest, ok := p.plan(now, q)
	if !ok || !p.predictionsUsable() {
		return
	}
	if now.Add(fastest.Idle).After(q.deadline) {
		p.scheduler.forwardOrRefuseInfeasible(now, q)
		return
	}
	q.latestStart = q.deadline.Add(-fastest.Loaded)
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

// predictionsUsable reports whether the pool's estimator has enough
// observations to refuse requests on its predictions.
func (p *predictive) predictionsUsable() bool { return p.scheduler.estimator.Calibrated() }

// prepareTargets resets the per-decision state of the targets and refreshes
// predicted slot releases that have passed.
func (p *predictive) prepareTargets(now time.Time) {
	p.recheckSoon = false
	for _, target := range p.scheduler.targets {
		target.Reserved = 0
		if target.RunningRequests > 0 && target.NextFree.Before(now) {
			target.updateNextFree(now)
		}
	}
}

// plan chooses the response length that a request is planned with: the middle of
// the estimate or, if the pool under its present load would miss the deadline
// with that, the low end. It returns the fastest run on any target.
func (p *predictive) plan(now time.Time, q *queuedRequest) (routing.FastestTimes, bool) {
	p.router.MatchPrefix(&q.work)
	s := p.scheduler
	fastest, ok := p.router.FastestTimes(now, &q.work, s.routingTargets, q.length.Median, q.length.Low)
	if !ok || q.meetsDeadline(now, fastest.Loaded) {
		return fastest, ok
	}
	p.planOptimistically(q)
	return p.router.FastestTimes(now, &q.work, s.routingTargets, q.length.Low, q.length.Low)
}

// planOptimistically plans a request with the low end of its length estimate
// and without the deadline margin.
func (p *predictive) planOptimistically(q *queuedRequest) {
	q.optimistic = true
	q.work.Length.Median = q.length.Low
}

// lowerTierActive reports whether a tier ranked below tier index i has queued
// requests, or running ones that are not being preempted.
func (p *predictive) lowerTierActive(i int) bool {
	for _, tier := range p.scheduler.tiers[i+1:] {
		if tier.queued > 0 || tier.continuing() > 0 {
			return true
		}
	}
	return false
}

// lowerTierRunning reports whether a tier ranked below tier index i has running
// requests that are not being preempted.
func (p *predictive) lowerTierRunning(i int) bool {
	for _, tier := range p.scheduler.tiers[i+1:] {
		if tier.continuing() > 0 {
			return true
		}
	}
	return false
}

// tierIndex returns the index of the request's tier in Scheduler.tiers.
func (p *predictive) tierIndex(q *queuedRequest) int {
	for i, tier := range p.scheduler.tiers {
		if tier == q.team.tier {
			return i
		}
	}
	return len(p.scheduler.tiers)
}
