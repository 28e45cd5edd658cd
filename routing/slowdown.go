package routing

import (
	"math"
	"time"
)

const (
	slowdownAttack  = 0.5
	slowdownRelease = 0.15
	slowdownMin     = 0.2
	slowdownMax     = 100
	// slowdownGrace is how long a slowdown stands without an observation.
	slowdownGrace = 2 * time.Second
	// slowdownHalfLife halves a slowdown that nobody observes any more, so that
	// the target is tried again.
	slowdownHalfLife = 5 * time.Second
)

// Slowdown is the factor between what a target does now and what it usually
// does. It rises faster than it falls.
type Slowdown struct {
	value float64
	at    time.Time
}

// At returns the factor at now; without observations it returns to 1.
func (s *Slowdown) At(now time.Time) float64 {
	if s.value == 0 {
		return 1
	}
	idle := now.Sub(s.at) - slowdownGrace
	if idle <= 0 || s.value <= 1 {
		return s.value
	}
	return 1 + (s.value-1)*math.Exp2(-idle.Seconds()/slowdownHalfLife.Seconds())
}

// Observe takes in the ratio of an observed time to the usual one.
func (s *Slowdown) Observe(now time.Time, ratio float64) {
	ratio = min(slowdownMax, max(slowdownMin, ratio))
	value := s.At(now)
	rate := slowdownRelease
	if ratio > value {
		rate = slowdownAttack
	}
	s.value = value + (ratio-value)*rate
	s.at = now
}

// ObserveAtLeast takes in a ratio that is still growing; it never lowers the
// factor.
func (s *Slowdown) ObserveAtLeast(now time.Time, ratio float64) {
	if ratio > s.At(now) {
		s.Observe(now, ratio)
	}
}
