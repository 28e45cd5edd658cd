package routing

import (
	"math/rand/v2"
	"time"

	"github.com/cenkalti/backoff/v5"
)

const (
	probeInitial = 200 * time.Millisecond
	probeMax     = 10 * time.Second
	// probeJitter is the part by which a wait may be shorter or longer.
	probeJitter = 0.5
	// probeFailureWindow joins failures of grants that were out together.
	probeFailureWindow = 100 * time.Millisecond
)

// CircuitBreaker takes a target that could not be reached, or that died, out of the
// choice, and has it probed by one request at a time after a jittered backoff.
type CircuitBreaker struct {
	random  *rand.Rand
	backoff *backoff.ExponentialBackOff
	failing bool
	failed  time.Time
	until   time.Time
}

// NewCircuitBreaker returns a healthy state; random makes the jitter.
func NewCircuitBreaker(random *rand.Rand) *CircuitBreaker {
	b := backoff.NewExponentialBackOff()
	b.InitialInterval = probeInitial
	b.MaxInterval = probeMax
	// The jitter comes from the seeded source, so that decisions can be replayed.
	b.RandomizationFactor = 0
	return &CircuitBreaker{random: random, backoff: b}
}

// RecordFailure takes in a failure.
func (h *CircuitBreaker) RecordFailure(now time.Time) {
	if h.failing && now.Sub(h.failed) < probeFailureWindow {
		return
	}
	if !h.failing {
		h.backoff.Reset()
	}
	h.failing = true
	h.failed = now
	factor := 1 + probeJitter*(2*h.random.Float64()-1)
	h.until = now.Add(time.Duration(float64(h.backoff.NextBackOff()) * factor))
}

// RecordSuccess takes in that the target answered.
func (h *CircuitBreaker) RecordSuccess() { h.failing = false }

// Tripped says whether the target is out or probed.
func (h *CircuitBreaker) Tripped() bool { return h.failing }

// NextProbe returns when the target may be probed.
func (h *CircuitBreaker) NextProbe() time.Time { return h.until }

// Slots limits the slots: none during the backoff, one for a probe.
func (h *CircuitBreaker) Slots(now time.Time, slots int) int {
	switch {
	case !h.failing:
		return slots
	case now.Before(h.until):
		return 0
	default:
		return min(1, slots)
	}
}
