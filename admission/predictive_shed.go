package admission

import (
	"time"

	"github.com/cornelyard/cornelyard/outcome"
)

// giveUpLate gives their final answer to requests that cannot finish in time any
// more.
func (p *predictive) giveUpLate(now time.Time, actions []Action) []Action {
	s := p.scheduler
	for q := s.giveUp.first(); q != nil && !now.Before(q.giveUp); q = s.giveUp.first() {
		if p.stillInTime(now, q) {
			continue
		}
		if !q.tight && p.below(p.index(q)) {
			// While lower tiers are served, a small chance is taken as well.
			p.hope(q)
			continue
		}
		p.shed = now
		actions = append(actions, s.giveAway(now, q, p.lateText(now, q)))
	}
	return actions
}

// stillInTime looks again whether a request could finish if it started now, and
// moves its time to give up if so.
func (p *predictive) stillInTime(now time.Time, q *queued) bool {
	s := p.scheduler
	if !now.Before(q.deadline) {
		return false
	}
	giveUp := q.deadline
	if p.trusted() {
		p.router.MatchPrefix(&q.work)
		pace, ok := p.router.FastestTimes(now, &q.work, s.routes, q.work.Length.Median, q.work.Length.Median)
		if ok {
			giveUp = q.deadline.Add(-pace.Loaded)
		}
	}
	if !giveUp.After(now) {
		return false
	}
	q.giveUp = giveUp
	s.giveUp.fix(q)
	return true
}

// lateText calls it a shed only if no lower tier is queued or served: otherwise
// the time that is left is what is short, not the capacity.
func (p *predictive) lateText(now time.Time, q *queued) refusalText {
	text := refusalText{
		reason:     outcome.Shed,
		message:    "no slot was free in time for the deadline",
		retryAfter: p.scheduler.retryAfter(now, q.rank()),
	}
	if p.below(p.index(q)) {
		text.reason = outcome.DeadlineExceeded
		text.message = "the time left is too short for this request"
	}
	return text
}

// shedOverLimit holds the queue at its limit: the lowest tier is shed first, and
// a higher one only when no lower one is served any more.
func (p *predictive) shedOverLimit(now time.Time, actions []Action) []Action {
	s := p.scheduler
	limit := s.pool.MaxQueue
	for limit > 0 && len(s.queue)-s.freeing > limit {
		i := p.lowestQueued()
		if victim := p.cheapestBelow(now, i, nil); victim != nil {
			actions = append(actions, p.preempt(now, victim, nil))
			continue
		}
		q := s.tiers[i].last()
		actions = append(actions, s.giveAway(now, q, refusalText{
			reason:     outcome.Shed,
			message:    "the queue is full",
			retryAfter: s.retryAfter(now, q.rank()),
		}))
	}
	return actions
}

func (p *predictive) lowestQueued() int {
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
func (p *predictive) shedHopeless(now time.Time, actions []Action) []Action {
	if !p.trusted() {
		return actions
	}
	s := p.scheduler
	for i := len(s.tiers) - 1; i >= 0; i-- {
		tier := s.tiers[i]
		for tier.queued > 0 {
			q := tier.last()
			if q.victim != nil || !now.Add(s.wait(now, tier.rank)).After(q.giveUp) {
				return actions
			}
			p.shed = now
			actions = append(actions, s.giveAway(now, q, refusalText{
				reason:     outcome.Shed,
				message:    "the queue is too long for the deadline",
				retryAfter: s.retryAfter(now, tier.rank),
			}))
		}
		if tier.serving() > 0 {
			return actions
		}
	}
	return actions
}
