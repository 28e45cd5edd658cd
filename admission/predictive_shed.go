package admission

import (
	"time"

	"github.com/cornelyard/cornelyard/outcome"
)

// refuseUnmeetable forwards or refuses the requests that can no longer finish
// before their deadline.
func (p *predictive) refuseUnmeetable(now time.Time, actions []Action) []Action {
	s := p.scheduler
	for q := s.latestStarts.peek(); q != nil && !now.Before(q.latestStart); q = s.latestStarts.peek() {
		if p.extendLatestStart(now, q) {
			continue
		}
		if !q.optimistic && p.lowerTierActive(p.tierIndex(q)) {
			// While lower tiers are queued or running, even a small chance of
			// finishing in time is taken.
			p.planOptimistically(q)
			continue
		}
		p.lastShed = now
		actions = append(actions, s.forwardOrRefuse(now, q, p.unmeetableRefusal(now, q)))
	}
	return actions
}

// extendLatestStart predicts the request's latest start again and reports
// whether it lies in the future.
func (p *predictive) extendLatestStart(now time.Time, q *queuedRequest) bool {
	s := p.scheduler
	if !now.Before(q.deadline) {
		return false
	}
	latestStart := q.deadline
	if p.predictionsUsable() {
		p.router.MatchPrefix(&q.work)
		fastest, ok := p.router.FastestTimes(now, &q.work, s.routingTargets, q.work.Length.Median, q.work.Length.Median)
		if ok {
			latestStart = q.deadline.Add(-fastest.Loaded)
		}
	}
	if !latestStart.After(now) {
		return false
	}
	q.latestStart = latestStart
	s.latestStarts.fix(q)
	return true
}

// unmeetableRefusal returns the reason for a request that cannot finish in
// time. It is a shed only if no lower tier is queued or running: otherwise the
// deadline is too short, not the capacity.
func (p *predictive) unmeetableRefusal(now time.Time, q *queuedRequest) refusalDetails {
	details := refusalDetails{
		reason:     outcome.Shed,
		message:    "no slot was free in time for the deadline",
		retryAfter: p.scheduler.retryAfter(now, q.rank()),
	}
	if p.lowerTierActive(p.tierIndex(q)) {
		details.reason = outcome.DeadlineExceeded
		details.message = "the time left is too short for this request"
	}
	return details
}

// enforceQueueLimit sheds and preempts until the queue is within its limit,
// lowest tier first. A higher tier is shed only when no lower one is running.
func (p *predictive) enforceQueueLimit(now time.Time, actions []Action) []Action {
	s := p.scheduler
	limit := s.pool.MaxQueue
	for limit > 0 && len(s.queue)-s.preempting > limit {
		i := p.lowestQueuedTier()
		if victim := p.cheapestVictimBelow(now, i, nil); victim != nil {
			actions = append(actions, p.preempt(now, victim, nil))
			continue
		}
		q := s.tiers[i].nextToShed()
		actions = append(actions, s.forwardOrRefuse(now, q, refusalDetails{
			reason:     outcome.Shed,
			message:    "the queue is full",
			retryAfter: s.retryAfter(now, q.rank()),
		}))
	}
	return actions
}

// lowestQueuedTier returns the index of the lowest tier with queued requests,
// or 0.
func (p *predictive) lowestQueuedTier() int {
	tiers := p.scheduler.tiers
	for i := len(tiers) - 1; i > 0; i-- {
		if tiers[i].queued > 0 {
			return i
		}
	}
	return 0
}

// shedBeyondWait sheds queued requests whose predicted wait extends past their
// latest start. It goes from the lowest tier upwards and stops at the first
// tier with running requests or with a request that can wait.
func (p *predictive) shedBeyondWait(now time.Time, actions []Action) []Action {
	if !p.predictionsUsable() {
		return actions
	}
	s := p.scheduler
	for i := len(s.tiers) - 1; i >= 0; i-- {
		tier := s.tiers[i]
		for tier.queued > 0 {
			q := tier.nextToShed()
			if q.victim != nil || !now.Add(s.predictWait(now, tier.rank)).After(q.latestStart) {
				return actions
			}
			p.lastShed = now
			actions = append(actions, s.forwardOrRefuse(now, q, refusalDetails{
				reason:     outcome.Shed,
				message:    "the queue is too long for the deadline",
				retryAfter: s.retryAfter(now, tier.rank),
			}))
		}
		if tier.continuing() > 0 {
			return actions
		}
	}
	return actions
}
