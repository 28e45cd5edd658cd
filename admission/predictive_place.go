package admission

import (
	"time"

	"github.com/cornelyard/cornelyard/routing"
)

// maxDeferred bounds the requests that one decision defers.
const maxDeferred = 16

// wastedPrefillWeight is how many completed responses the wasted prefill of a
// prompt of mean length costs.
const wastedPrefillWeight = 8

// maxDeferralWait is the longest predicted wait for a better target for which a
// free slot is left unused.
const maxDeferralWait = 500 * time.Millisecond

// shortageWindow is how long the pool counts as short of capacity after a shed.
const shortageWindow = 5 * time.Second

// grantReserved grants each slot freed by a preemption to the request that the
// preemption was made for.
func (p *predictive) grantReserved(now time.Time, actions []Action) []Action {
	s := p.scheduler
	for _, reserved := range s.reservations {
		q := s.queue[reserved.id]
		if q == nil || reserved.target.FreeSlots(now) == 0 {
			continue
		}
		if p.router.Allows(now, &q.work, reserved.target.Target) {
			actions = append(actions, s.grant(now, q, reserved.target))
		}
	}
	s.reservations = s.reservations[:0]
	return actions
}

// grantFreeSlots grants free slots in the order of service.
func (p *predictive) grantFreeSlots(now time.Time, actions []Action) []Action {
	s := p.scheduler
	free := s.freeSlots(now)
	for _, tier := range s.tiers {
		for free > 0 && len(p.deferred) < maxDeferred {
			q := tier.nextToServe()
			if q == nil {
				break
			}
			if p.tooLikelyPreempted(now, q) {
				p.removeUntilNextDecision(q)
				continue
			}
			choice := p.router.Rank(now, &q.work, s.routingTargets)
			if !p.shouldStart(now, q, choice) {
				p.deferRequest(now, q, choice)
				continue
			}
			actions = append(actions, s.grant(now, q, s.targetByName[choice.Free.Name]))
			free--
		}
	}
	p.restoreDeferred()
	return actions
}

// tooLikelyPreempted reports whether the request would so probably be preempted
// that the expected response is worth less than the expected waste of prefill.
func (p *predictive) tooLikelyPreempted(now time.Time, q *queuedRequest) bool {
	probability := q.team.tier.hazard.probability(now, q.cost)
	if probability == 0 {
		return false
	}
	prompt := float64(q.request.PromptTokens) / max(1, p.scheduler.meanPromptTokens)
	return probability*(1+wastedPrefillWeight*prompt) > 1
}

// shouldStart reports whether to start the request on the best target with a
// free slot. A request that would miss its deadline there with a long response
// waits if a busy target would finish even that in time. One that is safe on
// both waits only if the busy target is worth waiting for, frees a slot soon,
// and capacity is not short.
func (p *predictive) shouldStart(now time.Time, q *queuedRequest, choice routing.Choice) bool {
	if choice.Free == nil {
		return false
	}
	if !p.predictionsUsable() {
		return true
	}
	if !q.meetsDeadline(now, secondsToDuration(choice.FreeScore)) {
		return false
	}
	likelyBusy := choice.Busy != nil && p.likelyInTime(now, q, choice.Busy)
	if !p.likelyInTime(now, q, choice.Free) {
		return !likelyBusy
	}
	if p.shortOfCapacity(now) || !choice.ShouldWait() || !likelyBusy {
		return true
	}
	return choice.Busy.PredictWait(now) > maxDeferralWait
}

// likelyInTime reports whether even a long response would finish in time on the
// target, including the wait for a slot there.
func (p *predictive) likelyInTime(now time.Time, q *queuedRequest, target *routing.Target) bool {
	run := p.router.Predict(now, &q.work, target, max(q.length.High, q.work.Length.Median))
	return q.meetsDeadline(now, target.PredictWait(now)+run.Total())
}

// shortOfCapacity reports whether requests were shed recently. Leaving a slot
// unused to wait for a better target would then cause another shed.
func (p *predictive) shortOfCapacity(now time.Time) bool {
	return !p.lastShed.IsZero() && now.Sub(p.lastShed) < shortageWindow
}

// deferRequest skips a request for the rest of this decision. If it can wait
// for a busy target, the next slot there is counted as reserved; otherwise its
// deadline is at risk and preemption is considered at once.
func (p *predictive) deferRequest(now time.Time, q *queuedRequest, choice routing.Choice) {
	p.removeUntilNextDecision(q)
	if choice.Busy != nil && q.meetsDeadline(now, secondsToDuration(choice.BusyScore)) {
		choice.Busy.Reserved++
		return
	}
	q.riskCheckAt = earlier(q.riskCheckAt, now)
	q.team.tier.riskChecks.fix(q)
	if p.predictionsUsable() && choice.Free != nil {
		p.expireLatestStart(now, q)
	}
}

func (p *predictive) removeUntilNextDecision(q *queuedRequest) {
	q.team.tier.extract(q)
	p.deferred = append(p.deferred, q)
	p.recheckSoon = true
}

// expireLatestStart makes refuseUnmeetable examine, in this decision, a request
// that no target can start in time.
func (p *predictive) expireLatestStart(now time.Time, q *queuedRequest) {
	if q.latestStart.After(now) {
		q.latestStart = now
		p.scheduler.latestStarts.fix(q)
	}
}

func (p *predictive) restoreDeferred() {
	for i, q := range p.deferred {
		q.team.tier.insert(q)
		p.deferred[i] = nil
	}
	p.deferred = p.deferred[:0]
}

func secondsToDuration(seconds float64) time.Duration {
	return time.Duration(seconds * float64(time.Second))
}
