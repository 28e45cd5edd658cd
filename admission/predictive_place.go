package admission

import (
	"time"

	"github.com/cornelyard/cornelyard/routing"
)

// maxAside bounds the requests that one decision passes over.
const maxDeferred = 16

// wasteWeight is how many answers the prompt tokens of a request of mean length
// are worth.
const wastedPrefillWeight = 8

// maxHold is the longest predicted wait for a better target that a free slot is
// left for.
const maxDeferralWait = 500 * time.Millisecond

// pressedFor is how long the pool counts as pressed after a shed.
const shortageWindow = 5 * time.Second

// grantReserved gives the slots of preempted requests to those they were stopped
// for.
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

// place grants free slots in order.
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

// futile says that the request would probably be preempted: the answer that may
// come of it is not worth the prompt tokens that would be wasted.
func (p *predictive) tooLikelyPreempted(now time.Time, q *queuedRequest) bool {
	chance := q.team.tier.hazard.probability(now, q.cost)
	if chance == 0 {
		return false
	}
	prompt := float64(q.request.PromptTokens) / max(1, p.scheduler.meanPromptTokens)
	return chance*(1+wastedPrefillWeight*prompt) > 1
}

// accepts says whether the request takes the best free target. It does if it is
// likely to finish there in time; if it would only with luck, it rather waits for
// a busy target where it is likely to.
func (p *predictive) shouldStart(now time.Time, q *queuedRequest, choice routing.Choice) bool {
	if choice.Free == nil {
		return false
	}
	if !p.predictionsMature() {
		return true
	}
	if !q.meetsDeadline(now, secondsToDuration(choice.FreeScore)) {
		return false
	}
	likelyBusy := choice.Busy != nil && p.likelyInTime(now, q, choice.Busy)
	if !p.likelyInTime(now, q, choice.Free) {
		return !likelyBusy
	}
	if p.shortOfCapacity(now) || !choice.WorthWaiting() || !likelyBusy {
		return true
	}
	return choice.Busy.Wait(now) > maxDeferralWait
}

// likely says whether even a long answer would finish in time on the target,
// after the wait for a slot.
func (p *predictive) likelyInTime(now time.Time, q *queuedRequest, target *routing.Target) bool {
	run := p.router.Predict(now, &q.work, target, max(q.length.High, q.work.Length.Mid))
	return q.meetsDeadline(now, target.Wait(now)+run.Total())
}

// pressed says that capacity was short lately. Then no slot is left free to wait
// for a better one: somebody would be shed for it.
func (p *predictive) shortOfCapacity(now time.Time) bool {
	return !p.lastShed.IsZero() && now.Sub(p.lastShed) < shortageWindow
}

// passOver leaves a request out of the rest of this decision. If it can wait for
// a busy target it is promised a slot there; if not, it is at risk.
func (p *predictive) deferRequest(now time.Time, q *queuedRequest, choice routing.Choice) {
	p.removeUntilNextDecision(q)
	if choice.Busy != nil && q.meetsDeadline(now, secondsToDuration(choice.BusyScore)) {
		choice.Busy.Promised++
		return
	}
	q.riskCheckAt = earlier(q.riskCheckAt, now)
	q.team.tier.riskChecks.fix(q)
	if p.predictionsMature() && choice.Free != nil {
		p.expireLatestStart(now, q)
	}
}

func (p *predictive) removeUntilNextDecision(q *queuedRequest) {
	q.team.tier.extract(q)
	p.deferred = append(p.deferred, q)
	p.recheckSoon = true
}

// bringGiveUpForward has a request that can be started nowhere in time looked at
// by the give-up rule in this decision.
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
