package admission

import (
	"time"

	"github.com/cornelyard/cornelyard/outcome"
)

const (
	// maxWake bounds the time between two decisions.
	maxWake = time.Second
	// minWake keeps the owner from spinning.
	minWake = time.Millisecond
)

// Decide returns what has to be done now. The state already reflects it.
func (s *Scheduler) Decide(now time.Time) []Action {
	s.decided = now
	actions := s.pending
	s.pending = nil
	if len(s.queue) == 0 {
		s.reserved = s.reserved[:0]
		return actions
	}
	if !s.staying() {
		return s.refuseAll(now, actions)
	}
	return s.discipline.decide(now, actions)
}

// NextWake returns after which time Decide must be called though nothing happens.
func (s *Scheduler) NextWake(now time.Time) time.Duration {
	if len(s.pending) > 0 {
		return 0
	}
	if len(s.queue) == 0 {
		return maxWake
	}
	wake := now.Add(maxWake)
	for _, target := range s.routes {
		if target.Breaker.Tripped() && target.Breaker.NextProbe().After(now) {
			wake = earlier(wake, target.Breaker.NextProbe())
		}
	}
	wake = earlier(wake, s.giveUp.first().giveUp)
	if at := s.discipline.wake(now); !at.IsZero() {
		wake = earlier(wake, at)
	}
	return max(minWake, wake.Sub(now))
}

// refuseAll empties the queue of a pool that has no target.
func (s *Scheduler) refuseAll(now time.Time, actions []Action) []Action {
	for _, q := range s.queuedInSequence() {
		actions = append(actions, s.giveAway(now, q, refusalText{
			reason:     outcome.NoTarget,
			message:    "the pool has no target here",
			retryAfter: noTargetRetry,
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
