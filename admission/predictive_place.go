package admission

import (
	"time"

	"github.com/cornelyard/cornelyard/routing"
)

// maxAside bounds the requests that one decision passes over.
const maxAside = 16

// wasteWeight is how many answers the prompt tokens of a request of mean length
// are worth.
const wasteWeight = 8

// maxHold is the longest predicted wait for a better target that a free slot is
// left for.
const maxHold = 500 * time.Millisecond

// pressedFor is how long the pool counts as pressed after a shed.
const pressedFor = 5 * time.Second

// grantReserved gives the slots of preempted requests to those they were stopped
// for.
func (p *predictive) grantReserved(now time.Time, actions []Action) []Action {
	s := p.scheduler
	for _, reserved := range s.reserved {
		q := s.queue[reserved.id]
		if q == nil || reserved.target.FreeSlots(now) == 0 {
			continue
		}
		if p.router.Allows(now, &q.work, reserved.target.Target) {
			actions = append(actions, s.grant(now, q, reserved.target))
		}
	}
	s.reserved = s.reserved[:0]
	return actions
}

// place grants free slots in order.
func (p *predictive) place(now time.Time, actions []Action) []Action {
	s := p.scheduler
	free := s.freeSlots(now)
	for _, tier := range s.tiers {
		for free > 0 && len(p.aside) < maxAside {
			q := tier.first()
			if q == nil {
				break
			}
			if p.futile(now, q) {
				p.setAside(q)
				continue
			}
			choice := p.router.Rank(now, &q.work, s.routes)
			if !p.accepts(now, q, choice) {
				p.passOver(now, q, choice)
				continue
			}
			actions = append(actions, s.grant(now, q, s.byTarget[choice.Free.Name]))
			free--
		}
	}
	p.putBack()
	return actions
}

// futile says that the request would probably be preempted: the answer that may
// come of it is not worth the prompt tokens that would be wasted.
func (p *predictive) futile(now time.Time, q *queued) bool {
	chance := q.team.tier.hazard.chance(now, q.cost)
	if chance == 0 {
		return false
	}
	prompt := float64(q.request.PromptTokens) / max(1, p.scheduler.meanPrompt)
	return chance*(1+wasteWeight*prompt) > 1
}

// accepts says whether the request takes the best free target. It does if it is
// likely to finish there in time; if it would only with luck, it rather waits for
// a busy target where it is likely to.
func (p *predictive) accepts(now time.Time, q *queued, choice routing.Choice) bool {
	if choice.Free == nil {
		return false
	}
	if !p.trusted() {
		return true
	}
	if !q.meets(now, duration(choice.FreeScore)) {
		return false
	}
	likelyBusy := choice.Busy != nil && p.likely(now, q, choice.Busy)
	if !p.likely(now, q, choice.Free) {
		return !likelyBusy
	}
	if p.pressed(now) || !choice.ShouldWait() || !likelyBusy {
		return true
	}
	return choice.Busy.PredictWait(now) > maxHold
}

// likely says whether even a long answer would finish in time on the target,
// after the wait for a slot.
func (p *predictive) likely(now time.Time, q *queued, target *routing.Target) bool {
	run := p.router.Predict(now, &q.work, target, max(q.length.High, q.work.Length.Median))
	return q.meets(now, target.PredictWait(now)+run.Total())
}

// pressed says that capacity was short lately. Then no slot is left free to wait
// for a better one: somebody would be shed for it.
func (p *predictive) pressed(now time.Time) bool {
	return !p.shed.IsZero() && now.Sub(p.shed) < pressedFor
}

// passOver leaves a request out of the rest of this decision. If it can wait for
// a busy target it is promised a slot there; if not, it is at risk.
func (p *predictive) passOver(now time.Time, q *queued, choice routing.Choice) {
	p.setAside(q)
	if choice.Busy != nil && q.meets(now, duration(choice.BusyScore)) {
		choice.Busy.Reserved++
		return
	}
	q.riskAt = earlier(q.riskAt, now)
	q.team.tier.risk.fix(q)
	if p.trusted() && choice.Free != nil {
		p.bringGiveUpForward(now, q)
	}
}

func (p *predictive) setAside(q *queued) {
	q.team.tier.extract(q)
	p.aside = append(p.aside, q)
	p.waiting = true
}

// bringGiveUpForward has a request that can be started nowhere in time looked at
// by the give-up rule in this decision.
func (p *predictive) bringGiveUpForward(now time.Time, q *queued) {
	if q.giveUp.After(now) {
		q.giveUp = now
		p.scheduler.giveUp.fix(q)
	}
}

func (p *predictive) putBack() {
	for i, q := range p.aside {
		q.team.tier.insert(q)
		p.aside[i] = nil
	}
	p.aside = p.aside[:0]
}

func duration(seconds float64) time.Duration {
	return time.Duration(seconds * float64(time.Second))
}
