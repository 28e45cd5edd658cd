package admission

import "time"

const (
	// preemptionDelay is the time that a preempted request takes to free its
	// slot.
	preemptionDelay = 100 * time.Millisecond
	// riskMargin is added to a predicted run, as a fraction of it, before the
	// laxity is computed.
	riskMargin = 0.25
	// riskRecheckInterval is the shortest time between two risk checks of a
	// request.
	riskRecheckInterval = 20 * time.Millisecond
)

// preemptForDeadlines preempts requests of lower tiers for queued ones that
// would miss their deadline by waiting longer.
func (p *predictive) preemptForDeadlines(now time.Time, actions []Action) []Action {
	for i, tier := range p.scheduler.tiers {
		if !p.lowerTierRunning(i) {
			continue
		}
		for q := tier.riskChecks.peek(); q != nil && !now.Before(q.riskCheckAt); q = tier.riskChecks.peek() {
			actions = p.checkRisk(now, i, q, actions)
			tier.riskChecks.fix(q)
		}
	}
	return actions
}

// checkRisk preempts a request for q, of tier index i, if the laxity of q is
// used up, and sets the time of the next check.
func (p *predictive) checkRisk(now time.Time, i int, q *queuedRequest, actions []Action) []Action {
	if q.victim != nil {
		q.riskCheckAt = now.Add(preemptionDelay)
		return actions
	}
	if laxity := p.laxity(now, q); laxity > riskRecheckInterval {
		q.riskCheckAt = now.Add(max(riskRecheckInterval, laxity/2))
		return actions
	}
	q.riskCheckAt = now.Add(riskRecheckInterval)
	victim := p.cheapestVictimBelow(now, i, q)
	if victim == nil {
		return actions
	}
	return append(actions, p.preempt(now, victim, q))
}

// laxity predicts the time left to spare if the request waits for its turn and
// then runs on the target that suits it best.
func (p *predictive) laxity(now time.Time, q *queuedRequest) time.Duration {
	s := p.scheduler
	choice := p.router.Rank(now, &q.work, s.routingTargets)
	best := choice.BusyScore
	if choice.Busy == nil || choice.Free != nil && choice.FreeScore < best {
		best = choice.FreeScore
	}
	run := secondsToDuration(best * (1 + riskMargin))
	return q.deadline.Sub(now) - p.predictWaitAhead(now, q) - run - preemptionDelay
}

// predictWaitAhead predicts how long q waits for the queued requests that are
// served before it.
func (p *predictive) predictWaitAhead(now time.Time, q *queuedRequest) time.Duration {
	if p.scheduler.firstQueued() == q {
		return 0
	}
	return p.scheduler.predictWaitUntilDue(now, q.rank(), q.deadline)
}

// preempt orders the victim to stop. If q is not nil, the freed slot is
// reserved for it.
func (p *predictive) preempt(now time.Time, victim *runningRequest, q *queuedRequest) *Preempt {
	s := p.scheduler
	victim.preempted = true
	victim.beneficiary = q
	if q != nil {
		q.victim = victim
	}
	s.preempting++
	victim.target.preempting++
	victim.team.tier.preempting++
	return &Preempt{
		Request:    &victim.request,
		Target:     victim.target.Name,
		RetryAfter: s.retryAfter(now, victim.team.tier.rank),
	}
}

// cheapestVictimBelow returns the cheapest request to preempt from the lowest
// possible tier below tier index i, or nil. If q is not nil, only requests
// whose slot lets q finish in time are considered.
func (p *predictive) cheapestVictimBelow(now time.Time, i int, q *queuedRequest) *runningRequest {
	if q != nil {
		p.router.MatchPrefix(&q.work)
	}
	tiers := p.scheduler.tiers
	for j := len(tiers) - 1; j > i; j-- {
		var best *runningRequest
		for _, r := range tiers[j].running.items {
			if r.preempted || q != nil && !p.slotHelps(now, r, q) {
				continue
			}
			if best == nil || cheaperVictim(now, r, best) {
				best = r
			}
		}
		if best != nil {
			return best
		}
	}
	return nil
}

// slotHelps reports whether q would finish in time in the slot of r.
func (p *predictive) slotHelps(now time.Time, r *runningRequest, q *queuedRequest) bool {
	target := r.target
	if !p.router.Allows(now, &q.work, target.Target) || !target.preemptionFreesSlot(now) {
		return false
	}
	if !p.predictionsUsable() {
		return true
	}
	run := p.router.Predict(now, &q.work, target.Target, q.work.Length.Median)
	return !now.Add(run.Total()).After(q.deadline)
}

// cheaperVictim orders victims of one tier: idempotent requests first, then
// those that would miss their deadline anyway, then those with the fewest
// tokens spent, then the newest.
func cheaperVictim(now time.Time, a, b *runningRequest) bool {
	if a.request.NonIdempotent != b.request.NonIdempotent {
		return b.request.NonIdempotent
	}
	if a.missesDeadline() != b.missesDeadline() {
		return a.missesDeadline()
	}
	if spentA, spentB := a.spentTokens(now), b.spentTokens(now); spentA != spentB {
		return spentA < spentB
	}
	return a.sequence > b.sequence
}
