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
	// stepTime is how long each step of the ramp is held.
	stepTime time.Duration
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
	fullShareTime = time.Second
	// stepDelays is what reports, decisions and conditional writes of a ramp add up to.
	stepDelays = 800 * time.Millisecond
)

func newPlan(duration time.Duration) plan {
	part := duration / reserveShare
	planned := duration - max(part, min(reserveTime, duration/shortReserveShare))
	stepTime := min(max(duration/8, minStepTime), maxStepTime)
	p := plan{
		rampAt:     max(planned-2*stepTime-fullShareTime-stepDelays, part),
		completeAt: duration - min(part, reserveTime),
		stepTime:   stepTime,
	}
	p.latestRampAt = max(p.completeAt-3*minStepTime-stepDelays, 0)
	return p
}

// rampShares are the shares that follow the judgement, in thousandths.
var rampShares = [...]int{150, 400, 1000}

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
