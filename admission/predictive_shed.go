package admission

import (
	"time"

	"github.com/cornelyard/cornelyard/outcome"
)

// giveUpLate gives their final answer to requests that cannot finish in time any
// more.
func (p *predictive) refuseUnmeetable(now time.Time, actions []Action) []Action {
	s := p.scheduler
	for q := s.latestStarts.peek(); q != nil && !now.Before(q.latestStart); q = s.latestStarts.peek() {
		if p.extendLatestStart(now, q) {
			continue
		}
		if !q.optimistic && p.lowerTierActive(p.tierIndex(q)) {
			// While lower tiers are served, a small chance is taken as well.
			p.planOptimistically(q)
			continue
		}
		p.lastShed = now
		actions = append(actions, s.forwardOrRefuse(now, q, p.unmeetableRefusal(now, q)))
	}
	return actions
}

// stillInTime looks again whether a request could finish if it started now, and
// moves its time to give up if so.
func (p *predictive) extendLatestStart(now time.Time, q *queuedRequest) bool {
	s := p.scheduler
	if !now.Before(q.deadline) {
		return false
	}
	giveUp := q.deadline
	if p.predictionsMature() {
		p.router.Prepare(&q.work)
		pace, ok := p.router.Fastest(now, &q.work, s.routingTargets, q.work.Length.Mid, q.work.Length.Mid)
		if ok {
			giveUp = q.deadline.Add(-pace.Loaded)
		}
	}
	if !giveUp.After(now) {
		return false
	}
	q.latestStart = giveUp
	s.latestStarts.fix(q)
	return true
}

// lateText calls it a shed only if no lower tier is queued or served: otherwise
// the time that is left is what is short, not the capacity.
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

// shedOverLimit holds the queue at its limit: the lowest tier is shed first, and
// a higher one only when no lower one is served any more.
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

func (p *predictive) lowestQueuedTier() int {
	tiers := p.scheduler.tiers
	for i := len(tiers) - 1; i > 0; i-- {
		if tiers[i].queued > 0 {
			return i
		}
	}
	return 0
}

// shedHopeless sheds, from the lowest tier that is queued or served upwards, the
// requests whose turn is predicted to come too late.
func (p *predictive) shedBeyondWait(now time.Time, actions []Action) []Action {
	if !p.predictionsMature() {
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
