package rollout

import "time"

// plan holds the times of a rollout since its start. Traffic moves late, so that a version
// that becomes bad after some time is found while few requests reach it.
type plan struct {
	// rampAt is when traffic moves to a version that is judged good.
	rampAt time.Duration
	// latestRampAt is until when an undecided rollout may still start to move traffic.
	latestRampAt time.Duration
	// completeAt is when old targets that still have work no longer delay the completion.
	completeAt time.Duration
	// lastFullAt is until when few failures that may be chance delay the full share.
	lastFullAt time.Duration
	// stepTime is how long each step of the ramp is held, and fullTime how long the full share is
	// held at most before the completion.
	stepTime time.Duration
	fullTime time.Duration
}

const (
	// reserveTime and a part of the duration, one in reserveShare, are what is left after a
	// completion: at least the smaller one, and as planned the larger one, though no more
	// than one in shortReserveShare of a short duration.
	reserveTime       = 2 * time.Second
	reserveShare      = 5
	shortReserveShare = 4
	// minStepTime covers the 0.5 s that reports take to arrive at the latest.
	minStepTime = 600 * time.Millisecond
	maxStepTime = 1500 * time.Millisecond
	// fullShareTime is how long the candidates have all traffic before the completion.
	// shortFullShareTime is the same in short rollouts, where the step before it needs the time:
	// with 1 s, failures that began in that step were reported after all traffic had moved.
	fullShareTime      = time.Second
	shortFullShareTime = 800 * time.Millisecond
	// writeTime is from a decision until it is stored.
	writeTime = 300 * time.Millisecond
	// stepDelays is what reports, decisions and conditional writes of a ramp add up to.
	stepDelays = 800 * time.Millisecond
)

func newPlan(duration time.Duration) plan {
	part := duration / reserveShare
	planned := duration - max(part, min(reserveTime, duration/shortReserveShare))
	stepTime := min(max(duration/8, minStepTime), maxStepTime)
	p := plan{
		rampAt:     max(planned-2*stepTime-fullShareTime-stepDelays, part),
		completeAt: duration - min(part, reserveTime) - writeTime,
		stepTime:   stepTime,
		fullTime:   fullShareTime,
	}
	p.lastFullAt = p.completeAt - minStepTime - writeTime
	if p.isShort() {
		p.fullTime = shortFullShareTime
		// Old targets still finish their requests before the deadline's margin is used up.
		p.lastFullAt = p.completeAt - reportDelay - writeTime
	}
	p.latestRampAt = max(p.completeAt-3*minStepTime-stepDelays, 0)
	return p
}

// rampShares are the shares that follow the judgement, in thousandths.
var rampShares = [...]int{150, 400, 1000}

// isShort reports whether a step of the ramp is over before decisions based on it are in force.
func (p *plan) isShort() bool { return p.stepTime < reactionTime }

// isRamp reports whether the share is one of the ramp. A host that takes over the decisions
// knows by it how far the rollout is.
func isRamp(shareMilli int) bool {
	return nextRampShare(shareMilli-1) == shareMilli
}

// nextRampShare returns the smallest share of the ramp above the given one.
func nextRampShare(shareMilli int) int {
	for _, share := range rampShares {
		if share > shareMilli {
			return share
		}
	}
	return shareMilli
}

// firstRampShare returns the share at which the ramp starts. In short rollouts the lowest one is
// left out if it is less than twice the share held before: it shows little that is new, and the
// evidence of the next one needs the time.
func (p *plan) firstRampShare(heldMilli int) int {
	lowest := rampShares[0]
	if p.isShort() && lowest < 2*heldMilli {
		return nextRampShare(max(heldMilli, lowest))
	}
	return nextRampShare(heldMilli)
}

// skippedSteps returns how many steps of the ramp are left out after a share that was held before
// the ramp. The ramp then starts later, so that the evidence is as long as with all steps.
func (p *plan) skippedSteps(heldMilli int) time.Duration {
	var skipped time.Duration
	for _, share := range rampShares {
		if share < p.firstRampShare(heldMilli) {
			skipped++
		}
	}
	return skipped
}
