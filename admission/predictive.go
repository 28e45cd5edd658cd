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
	aside []*queued
	// waiting says that a free slot was left to wait for a better one.
	waiting bool
	// shed is when a request was last given up for want of capacity.
	shed time.Time
}

func newPredictive(s *Scheduler) *predictive {
	return &predictive{
		scheduler: s,
		router:    s.newRouter(routing.PredictedFinish{Prefixes: s.prefixes}),
	}
}

// deferralRecheck is how soon a decision to wait for a better target is looked
// at again.
const deferralRecheck = 50 * time.Millisecond

func (p *predictive) enqueued(now time.Time, q *queued) {
	pace, ok := p.plan(now, q)
	if !ok || !p.trusted() {
		return
	}
	if now.Add(pace.Idle).After(q.deadline) {
		p.scheduler.sendInfeasible(now, q)
		return
	}
	q.giveUp = q.deadline.Add(-pace.Loaded)
	p.scheduler.giveUp.fix(q)
}

func (p *predictive) dequeued(*queued) {}

func (p *predictive) decide(now time.Time, actions []Action) []Action {
	p.refresh(now)
	actions = p.grantReserved(now, actions)
	actions = p.place(now, actions)
	actions = p.giveUpLate(now, actions)
	actions = p.shedOverLimit(now, actions)
	actions = p.shedHopeless(now, actions)
	return p.preemptForRisk(now, actions)
}

func (p *predictive) wake(now time.Time) time.Time {
	var wake time.Time
	if p.waiting {
		wake = now.Add(deferralRecheck)
	}
	for i, tier := range p.scheduler.tiers {
		q := tier.risk.first()
		if q == nil || !p.servingBelow(i) {
			continue
		}
		if wake.IsZero() || q.riskAt.Before(wake) {
			wake = q.riskAt
		}
	}
	return wake
}

// trusted says whether enough was learned to refuse on a prediction.
func (p *predictive) trusted() bool { return p.scheduler.estimator.Calibrated() }

// refresh prepares the targets for a decision.
func (p *predictive) refresh(now time.Time) {
	p.waiting = false
	for _, target := range p.scheduler.targets {
		target.Reserved = 0
		if target.InService > 0 && target.NextFree.Before(now) {
			target.updateNextFree(now)
		}
	}
}

// plan chooses the answer length that a request is planned with: the middle of
// the estimate, or its low end if the pool, as it is loaded, would not do more in
// time.
func (p *predictive) plan(now time.Time, q *queued) (routing.FastestTimes, bool) {
	p.router.MatchPrefix(&q.work)
	s := p.scheduler
	pace, ok := p.router.FastestTimes(now, &q.work, s.routes, q.length.Median, q.length.Low)
	if !ok || q.meets(now, pace.Loaded) {
		return pace, ok
	}
	p.hope(q)
	return p.router.FastestTimes(now, &q.work, s.routes, q.length.Low, q.length.Low)
}

// hope plans a request with the low end of the estimate, without reserve.
func (p *predictive) hope(q *queued) {
	q.tight = true
	q.work.Length.Median = q.length.Low
}

// below says whether a tier lower than that of index i is queued or served.
func (p *predictive) below(i int) bool {
	for _, tier := range p.scheduler.tiers[i+1:] {
		if tier.queued > 0 || tier.serving() > 0 {
			return true
		}
	}
	return false
}

// servingBelow says whether a tier lower than that of index i is served.
func (p *predictive) servingBelow(i int) bool {
	for _, tier := range p.scheduler.tiers[i+1:] {
		if tier.serving() > 0 {
			return true
		}
	}
	return false
}

// index returns the place of the request's tier.
func (p *predictive) index(q *queued) int {
	for i, tier := range p.scheduler.tiers {
		if tier == q.team.tier {
			return i
		}
	}
	return len(p.scheduler.tiers)
}
