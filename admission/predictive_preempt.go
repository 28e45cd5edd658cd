package admission

import "time"

const (
	// preemptLead is the time that a stopped request takes to free its slot.
	preemptionDelay = 100 * time.Millisecond
	// riskMargin is the part of the predicted time that is kept in reserve.
	riskMargin = 0.25
	// riskRecheck bounds how soon a request at risk is looked at again.
	riskRecheckInterval = 20 * time.Millisecond
)

// preemptForRisk stops requests of lower tiers for those that would miss their
// deadline by waiting longer.
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

// rescue looks at one request that may be at risk and sets when to look again.
func (p *predictive) checkRisk(now time.Time, i int, q *queuedRequest, actions []Action) []Action {
	if q.victim != nil {
		q.riskCheckAt = now.Add(preemptionDelay)
		return actions
	}
	if slack := p.laxity(now, q); slack > riskRecheckInterval {
		q.riskCheckAt = now.Add(max(riskRecheckInterval, slack/2))
		return actions
	}
	q.riskCheckAt = now.Add(riskRecheckInterval)
	victim := p.cheapestVictimBelow(now, i, q)
	if victim == nil {
		return actions
	}
	return append(actions, p.preempt(now, victim, q))
}

// slack predicts the time that is left to spare if the request waits for its
// turn and then for the target that suits it best.
func (p *predictive) laxity(now time.Time, q *queuedRequest) time.Duration {
	s := p.scheduler
	choice := p.router.Rank(now, &q.work, s.routingTargets)
	best := choice.BusyScore
	if choice.Busy == nil || choice.Free != nil && choice.FreeScore < best {
		best = choice.FreeScore
	}
	took := secondsToDuration(best * (1 + riskMargin))
	return q.deadline.Sub(now) - p.predictWaitAhead(now, q) - took - preemptionDelay
}

// ahead predicts the wait for the queued requests that are served before q.
func (p *predictive) predictWaitAhead(now time.Time, q *queuedRequest) time.Duration {
	if p.scheduler.firstQueued() == q {
		return 0
	}
	return p.scheduler.predictWaitUntilDue(now, q.rank(), q.deadline)
}

// preempt orders a victim to stop. q, which may be nil, gets its slot.
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

// cheapestBelow returns the cheapest victim of the lowest tier below that of
// index i whose slot would let q finish in time, or, without q, any victim. It
// returns nil if there is none.
func (p *predictive) cheapestVictimBelow(now time.Time, i int, q *queuedRequest) *runningRequest {
	if q != nil {
		p.router.Prepare(&q.work)
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

// helps says whether the slot of r lets q finish in time.
func (p *predictive) slotHelps(now time.Time, r *runningRequest, q *queuedRequest) bool {
	target := r.target
	if !p.router.Allows(now, &q.work, target.Target) || !target.preemptionFreesSlot(now) {
		return false
	}
	if !p.predictionsMature() {
		return true
	}
	run := p.router.Predict(now, &q.work, target.Target, q.work.Length.Mid)
	return !now.Add(run.Total()).After(q.deadline)
}

// cheaper orders victims of one tier: those that may be repeated first, then
// those that would be late anyway, then by what was spent on them.
func cheaperVictim(now time.Time, a, b *runningRequest) bool {
	if a.request.NonIdempotent != b.request.NonIdempotent {
		return b.request.NonIdempotent
	}
	if a.missesDeadline() != b.missesDeadline() {
		return a.missesDeadline()
	}
	if sunkA, sunkB := a.spentTokens(now), b.spentTokens(now); sunkA != sunkB {
		return sunkA < sunkB
	}
	return a.sequence > b.sequence
}
