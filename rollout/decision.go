package rollout

import "time"

const (
	// maxEvidenceAge is how long a share above the first one is kept without any evidence.
	maxEvidenceAge = 2 * time.Second
	// minRate is the number of requests a second from which no request for a while means that
	// no reports arrive.
	minRate = 5
	// minSuccesses is the number of responses without which no version is completed.
	minSuccesses = 3
)

// decision is one call of Decide on a rollout in progress.
type decision struct {
	Situation
	controller *Controller
	now        time.Time
	elapsed    time.Duration
	plan       plan
	verdict    Verdict
}

// judge returns the verdict on what is known since the order, or Bad if the candidates are
// bad in any period. While the share is small, the periods are recent ones of two lengths
// and all since the order. During the ramp it is the current step, alone and with the
// one before: over all steps, whose shares differ most, a fault that hits both sides at one
// time would count more against one of them.
func (d *decision) judge() Verdict {
	c := d.controller
	verdict := d.judgement(d.Evidence).verdict()
	if isRamp(d.Progress.ShareMilli) {
		for _, earlier := range []Report{c.stepTotal, c.formerTotal} {
			if v := d.judgement(d.Evidence.since(earlier)).verdict(); v.Outcome == Bad {
				return v
			}
		}
		if verdict.Outcome == Bad {
			verdict.Outcome = Undecided
		}
		return verdict
	}
	for _, age := range []time.Duration{c.options.RollbackTime / 2, c.options.RollbackTime} {
		earlier, ok := c.history.before(d.now, age)
		if !ok || verdict.Outcome == Bad {
			continue
		}
		if v := d.judgement(d.Evidence.since(earlier.total)).verdict(); v.Outcome == Bad {
			return v
		}
	}
	return verdict
}

func (d *decision) judgement(evidence Report) judgement {
	return judgement{
		evidence: evidence, reference: d.Evidence,
		targets: targetNumbers{old: d.OldTargets, candidates: d.Candidates},
	}
}

// next returns the progress that is to follow.
func (d *decision) next() Progress {
	switch share := d.Progress.ShareMilli; {
	case d.verdict.Outcome == Bad:
		return d.ended(RolledBack)
	case d.elapsed >= d.Order.Duration:
		d.verdict.Outcome, d.verdict.Reason = Bad, ReasonDeadline
		return d.ended(RolledBack)
	case !d.hasFreshEvidence(maxEvidenceAge) && share > d.controller.firstShare():
		return d.withShare(d.controller.firstShare())
	case isRamp(share):
		return d.ramp()
	case d.mayRamp():
		return d.withShare(d.plan.firstRampShare(share))
	default:
		return d.hold()
	}
}

// hasFreshEvidence reports whether requests were reported within the time, where requests
// are frequent enough to expect them.
func (d *decision) hasFreshEvidence(age time.Duration) bool {
	h := &d.controller.history
	return d.now.Sub(h.grownAt) <= age || float64(h.arrived)/max(d.elapsed, time.Second).Seconds() < minRate
}

// hasCandidates reports whether there are candidates, and not fewer than half of those that
// there were.
func (d *decision) hasCandidates() bool {
	return d.Candidates > 0 && 2*d.Candidates > d.controller.maxCandidates
}

// mayRamp reports whether traffic may move: the version is good, or undecided for want of
// requests until the latest time, with nothing against it.
func (d *decision) mayRamp() bool {
	skipped := d.plan.skippedSteps(d.Progress.ShareMilli)
	if d.elapsed < d.plan.rampAt+skipped*d.plan.stepTime || !d.hasCandidates() || !d.hasFreshEvidence(time.Second) {
		return false
	}
	if d.elapsed >= d.plan.completeAt-minStepTime || d.judgement(d.recentEvidence()).isSuspect() {
		return false
	}
	if d.verdict.Outcome == Good {
		return true
	}
	return d.elapsed >= d.plan.latestRampAt+skipped*minStepTime && d.candidatesRespond() && d.judgement(d.Evidence).isLikelyGood()
}

// candidatesRespond reports whether there are responses of candidates, and not far fewer for
// the requests sent to them than of old targets. Those of a slow version that have ended are
// the fast ones.
func (d *decision) candidatesRespond() bool {
	old, candidates := d.Evidence.sum(Old), d.Evidence.sum(New)
	return candidates.Successes >= minSuccesses &&
		2*candidates.ended()*old.Dispatched >= old.ended()*candidates.Dispatched
}

// recentEvidence returns what was counted in the last half of RollbackTime.
func (d *decision) recentEvidence() Report {
	c := d.controller
	if earlier, ok := c.history.before(d.now, c.options.RollbackTime/2); ok {
		return d.Evidence.since(earlier.total)
	}
	return d.Evidence
}

// ramp returns the next step of the ramp once the current one was held for long enough and
// its evidence was received, or the completion. While the candidates are suspect, it waits,
// or returns to a smaller share if waiting could exceed the exposure bound.
func (d *decision) ramp() Progress {
	c := d.controller
	isFull := d.Progress.ShareMilli == 1000
	isSuspect := d.judgement(d.Evidence.since(c.stepTotal)).isSuspect()
	if share, isReduced := d.reducedShare(isSuspect); isReduced {
		return d.withShare(share)
	}
	if d.now.Sub(c.stepAt) < d.stepTime() || !d.hasCandidates() || !d.hasFreshEvidence(time.Second) {
		return d.Progress
	}
	if isSuspect || d.judgement(d.Evidence).isSuspect() {
		return d.Progress
	}
	if !isFull {
		next := nextRampShare(d.Progress.ShareMilli)
		if isLate := d.elapsed > d.plan.completeAt-2*minStepTime; isLate {
			next = max(next, c.reachedMilli)
		}
		if next == 1000 && d.elapsed < d.plan.lastFullAt && d.isDoubtful() {
			return d.Progress
		}
		return d.withShare(next)
	}
	if isReady := d.OldRunning == 0 && d.verdict.Outcome == Good; !isReady && d.elapsed < d.plan.completeAt {
		return d.Progress
	}
	if d.verdict.Outcome != Good && !d.judgement(d.Evidence).isLikelyGood() {
		return d.Progress
	}
	return d.ended(Completed)
}

// isDoubtful reports whether few failures, or durations, delay the full share. In short rollouts a
// route has too few failures in one step, so those since the order count.
func (d *decision) isDoubtful() bool {
	return d.judgement(d.Evidence.since(d.controller.stepTotal)).isDoubtful() ||
		d.plan.isShort() && d.judgement(d.Evidence).hasDoubtfulRoute()
}

// reducedShare returns the share to which a suspect version returns if waiting could exceed the
// exposure bound: the lowest one of the ramp, at which what is running shows how the candidates do
// while fewer requests are exposed. Once it is too late to complete with a margin, more evidence
// changes nothing, and only what is left of the exposure before the ramp may be used.
func (d *decision) reducedShare(isSuspect bool) (shareMilli int, isReduced bool) {
	lowest := rampShares[0]
	switch {
	case !isSuspect || d.isAffordable():
		return 0, false
	case d.elapsed > d.plan.lastFullAt:
		return min(d.holdShareMilli(), lowest-1), true
	default:
		return lowest, d.Progress.ShareMilli > lowest
	}
}

// isAffordable reports whether the exposure stays within its bound, counted until now, if the
// current share stays in force until the next decision on more evidence.
func (d *decision) isAffordable() bool {
	c := d.controller
	rate := c.history.rate(d.now, d.elapsed)
	exposed := float64(d.Evidence.sum(New).Dispatched) + rate*float64(d.Progress.ShareMilli)/1000*reactionTime.Seconds()
	return exposed <= c.options.ExposureShare*float64(c.history.arrived)+c.options.ExposureAllowance
}

// stepTime returns how long the current step of the ramp is held: shorter than planned if
// the steps left would otherwise not end in time.
func (d *decision) stepTime() time.Duration {
	var stepsBelow time.Duration // this step and those after it that are below the full share
	for share := d.Progress.ShareMilli; share < 1000; share = nextRampShare(share) {
		stepsBelow++
	}
	left := d.plan.completeAt - d.elapsed + d.now.Sub(d.controller.stepAt)
	switch {
	case stepsBelow == 0:
		return min(max(left, minStepTime), d.plan.fullTime)
	case stepsBelow == 1:
		// The last step before the full share shows most, and the longer it is held, the more
		// of its evidence has arrived when all requests follow.
		return min(max(left-d.plan.fullTime-stepDelays/4, minStepTime), maxStepTime)
	default:
		return min(max(left/(stepsBelow+1), minStepTime), d.plan.stepTime)
	}
}

func (d *decision) withShare(shareMilli int) Progress {
	p := d.Progress
	p.Step++
	p.ShareMilli = shareMilli
	return p
}

func (d *decision) ended(phase Phase) Progress {
	p := d.withShare(0)
	if phase == Completed {
		p.ShareMilli = 1000
	}
	p.Phase = phase
	return p
}
