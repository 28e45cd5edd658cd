package admission

import "time"

const (
	// preemptLead is the time that a stopped request takes to free its slot.
	preemptLead = 100 * time.Millisecond
	// riskMargin is the part of the predicted time that is kept in reserve.
	riskMargin = 0.25
	// riskRecheck bounds how soon a request at risk is looked at again.
	riskRecheck = 20 * time.Millisecond
)

// preemptForRisk stops requests of lower tiers for those that would miss their
// deadline by waiting longer.
func (p *predictive) preemptForRisk(now time.Time, actions []Action) []Action {
	for i, tier := range p.scheduler.tiers {
		if !p.servingBelow(i) {
			continue
		}
		for q := tier.risk.first(); q != nil && !now.Before(q.riskAt); q = tier.risk.first() {
			actions = p.rescue(now, i, q, actions)
			tier.risk.fix(q)
		}
	}
	return actions
}

// rescue looks at one request that may be at risk and sets when to look again.
func (p *predictive) rescue(now time.Time, i int, q *queued, actions []Action) []Action {
	if q.victim != nil {
		q.riskAt = now.Add(preemptLead)
		return actions
	}
	if slack := p.slack(now, q); slack > riskRecheck {
		q.riskAt = now.Add(max(riskRecheck, slack/2))
		return actions
	}
	q.riskAt = now.Add(riskRecheck)
	victim := p.cheapestBelow(now, i, q)
	if victim == nil {
		return actions
	}
	return append(actions, p.preempt(now, victim, q))
}

// slack predicts the time that is left to spare if the request waits for its
// turn and then for the target that suits it best.
func (p *predictive) slack(now time.Time, q *queued) time.Duration {
	s := p.scheduler
	choice := p.router.Rank(now, &q.work, s.routes)
	best := choice.BusyScore
	if choice.Busy == nil || choice.Free != nil && choice.FreeScore < best {
		best = choice.FreeScore
	}
	took := duration(best * (1 + riskMargin))
	return q.deadline.Sub(now) - p.ahead(now, q) - took - preemptLead
}

// ahead predicts the wait for the queued requests that are served before q.
func (p *predictive) ahead(now time.Time, q *queued) time.Duration {
	if p.scheduler.firstQueued() == q {
		return 0
	}
	return p.scheduler.waitBehind(now, q.rank(), q.deadline)
}

// preempt orders a victim to stop. q, which may be nil, gets its slot.
func (p *predictive) preempt(now time.Time, victim *running, q *queued) *Preempt {
	s := p.scheduler
	victim.preempted = true
	victim.beneficiary = q
	if q != nil {
		q.victim = victim
	}
	s.freeing++
	victim.target.freeing++
	victim.team.tier.freeing++
	return &Preempt{
		Request:    &victim.request,
		Target:     victim.target.Name,
		RetryAfter: s.retryAfter(now, victim.team.tier.rank),
	}
}

// cheapestBelow returns the cheapest victim of the lowest tier below that of
// index i whose slot would let q finish in time, or, without q, any victim. It
// returns nil if there is none.
func (p *predictive) cheapestBelow(now time.Time, i int, q *queued) *running {
	if q != nil {
		p.router.MatchPrefix(&q.work)
	}
	tiers := p.scheduler.tiers
	for j := len(tiers) - 1; j > i; j-- {
		var best *running
		for _, r := range tiers[j].running.items {
			if r.preempted || q != nil && !p.helps(now, r, q) {
				continue
			}
			if best == nil || cheaper(now, r, best) {
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
func (p *predictive) helps(now time.Time, r *running, q *queued) bool {
	target := r.target
	if !p.router.Allows(now, &q.work, target.Target) || !target.slotAfterPreemption(now) {
		return false
	}
	if !p.trusted() {
		return true
	}
	run := p.router.Predict(now, &q.work, target.Target, q.work.Length.Median)
	return !now.Add(run.Total()).After(q.deadline)
}

// cheaper orders victims of one tier: those that may be repeated first, then
// those that would be late anyway, then by what was spent on them.
func cheaper(now time.Time, a, b *running) bool {
	if a.request.NonIdempotent != b.request.NonIdempotent {
		return b.request.NonIdempotent
	}
	if a.missing() != b.missing() {
		return a.missing()
	}
	if sunkA, sunkB := a.sunk(now), b.sunk(now); sunkA != sunkB {
		return sunkA < sunkB
	}
	return a.sequence > b.sequence
}
