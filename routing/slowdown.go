package routing

import (
	"math"
	"time"
)

const (
	slowdownRiseRate = 0.5
	slowdownFallRate = 0.15
	slowdownMin      = 0.2
	slowdownMax      = 100
	// slowdownHoldTime is the time without observations after which a slowdown
	// starts to decay.
	slowdownHoldTime = 2 * time.Second
	// slowdownHalfLife is the half-life of this decay, which lets a target without
	// traffic be tried again.
	slowdownHalfLife = 5 * time.Second
)

// Slowdown is the ratio of a target's current times to its usual ones. It rises
// faster than it falls.
type Slowdown struct {
	value     float64
	updatedAt time.Time
}

// At returns the ratio at now. Without observations a slowdown decays to 1.
func (s *Slowdown) At(now time.Time) float64 {
	if s.value == 0 {
		return 1
	}
	idle := now.Sub(s.updatedAt) - slowdownHoldTime
	if idle <= 0 || s.value <= 1 {
		return s.value
	}
	return 1 + (s.value-1)*math.Exp2(-idle.Seconds()/slowdownHalfLife.Seconds())
}

// Observe records the ratio of an observed time to the usual one.
func (s *Slowdown) Observe(now time.Time, ratio float64) {
	ratio = min(slowdownMax, max(slowdownMin, ratio))
	value := s.At(now)
	rate := slowdownFallRate
	if ratio > value {
		rate = slowdownRiseRate
	}
	s.value = value + (ratio-value)*rate
	s.updatedAt = now
}

// ObserveAtLeast records a lower bound of a ratio that is still growing, so it
// never lowers the slowdown.
func (s *Slowdown) ObserveAtLeast(now time.Time, ratio float64) {
	if ratio > s.At(now) {
		s.Observe(now, ratio)
	}
}
