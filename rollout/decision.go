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
		return d.withShare(nextRampShare(share))
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
	if d.elapsed < d.plan.rampAt || !d.hasCandidates() || !d.hasFreshEvidence(time.Second) {
		return false
	}
	if d.elapsed >= d.plan.completeAt-minStepTime || d.judgement(d.recentEvidence()).isSuspect() {
		return false
	}
	if d.verdict.Outcome == Good {
		return true
	}
	return d.elapsed >= d.plan.latestRampAt && d.candidatesRespond() && d.judgement(d.Evidence).isLikelyGood()
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
// its evidence was received, or the completion. While the candidates are suspect, it returns
// to the lowest share of the ramp.
func (d *decision) ramp() Progress {
	c := d.controller
	isFull := d.Progress.ShareMilli == 1000
	isSuspect := d.judgement(d.Evidence.since(c.stepTotal)).isSuspect()
	if lowest := rampShares[0]; isSuspect && d.Progress.ShareMilli > lowest {
		// Fewer requests are exposed while what is running shows how the candidates do.
		return d.withShare(lowest)
	}
	if d.now.Sub(c.stepAt) < d.stepTime() || !d.hasCandidates() || !d.hasFreshEvidence(time.Second) {
		return d.Progress
	}
	if isSuspect || d.judgement(d.Evidence).isSuspect() {
		return d.Progress
	}
	if !isFull {
		return d.withShare(nextRampShare(d.Progress.ShareMilli))
	}
	if isReady := d.OldRunning == 0 && d.verdict.Outcome == Good; !isReady && d.elapsed < d.plan.completeAt {
		return d.Progress
	}
	return d.ended(Completed)
}

// stepTime returns how long the current step of the ramp is held: shorter than planned if
// the steps left would otherwise not end in time.
func (d *decision) stepTime() time.Duration {
	stepsLeft := 1
	for share := d.Progress.ShareMilli; share < 1000; share = nextRampShare(share) {
		stepsLeft++
	}
	held := d.now.Sub(d.controller.stepAt)
	left := (d.plan.completeAt - stepDelays/2 - d.elapsed + held) / time.Duration(stepsLeft)
	if stepsLeft == 1 {
		return min(max(left, minStepTime), fullShareTime)
	}
	return min(max(left, minStepTime), d.plan.stepTime)
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
