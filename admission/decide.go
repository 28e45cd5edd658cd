package admission

import (
	"time"

	"github.com/cornelyard/cornelyard/outcome"
)

const (
	// maxWake is the longest time between two decisions.
	maxWake = time.Second
	// minWake is the shortest time that NextWake returns while requests are
	// queued, so that the owner does not busy-loop.
	minWake = time.Millisecond
)

// Decide returns the actions to carry out now. The scheduler's state already
// reflects them.
func (s *Scheduler) Decide(now time.Time) []Action {
	s.lastDecision = now
	actions := s.pendingActions
	s.pendingActions = nil
	if len(s.queue) == 0 {
		s.reservations = s.reservations[:0]
		return actions
	}
	if !s.hasAvailableTarget() {
		return s.refuseAll(now, actions)
	}
	return s.policy.decide(now, actions)
}

// NextWake returns the time after which Decide must be called if no event
// arrives before.
func (s *Scheduler) NextWake(now time.Time) time.Duration {
	if len(s.pendingActions) > 0 {
		return 0
	}
	if len(s.queue) == 0 {
		return maxWake
	}
	wake := now.Add(maxWake)
	for _, target := range s.routingTargets {
		if target.Breaker.Tripped() && target.Breaker.NextProbe().After(now) {
			wake = earlier(wake, target.Breaker.NextProbe())
		}
	}
	wake = earlier(wake, s.latestStarts.peek().latestStart)
	if at := s.policy.nextWake(now); !at.IsZero() {
		wake = earlier(wake, at)
	}
	return max(minWake, wake.Sub(now))
}

// refuseAll forwards or refuses all queued requests of a pool that has no
// target.
func (s *Scheduler) refuseAll(now time.Time, actions []Action) []Action {
	for _, q := range s.queuedByArrival() {
		actions = append(actions, s.forwardOrRefuse(now, q, refusalDetails{
			reason:     outcome.NoTarget,
			message:    "the pool has no target here",
			retryAfter: noTargetRetryAfter,
		}))
	}
	return actions
}

func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}
