package routing

import (
	"math/rand/v2"
	"time"

	"github.com/cenkalti/backoff/v5"
)

const (
	initialProbeDelay = 200 * time.Millisecond
	maxProbeDelay     = 10 * time.Second
	// probeJitter is the fraction by which a delay is randomly shortened or extended.
	probeJitter = 0.5
	// failureDedupWindow is the time in which further failures count as one, since
	// grants that were in flight together fail together.
	failureDedupWindow = 100 * time.Millisecond
)

// CircuitBreaker stops traffic to a target that could not be reached or that
// crashed. After an exponential backoff with jitter it admits one probe request at
// a time.
type CircuitBreaker struct {
	random      *rand.Rand
	backoff     *backoff.ExponentialBackOff
	tripped     bool
	lastFailure time.Time
	nextProbe   time.Time
}

// NewCircuitBreaker returns a closed circuit breaker; random is the source of the
// jitter.
func NewCircuitBreaker(random *rand.Rand) *CircuitBreaker {
	b := backoff.NewExponentialBackOff()
	b.InitialInterval = initialProbeDelay
	b.MaxInterval = maxProbeDelay
	// RecordFailure adds the jitter from the seeded source instead, so that
	// decisions can be replayed.
	b.RandomizationFactor = 0
	return &CircuitBreaker{random: random, backoff: b}
}

// RecordFailure trips the breaker, or extends the backoff of a tripped one.
func (b *CircuitBreaker) RecordFailure(now time.Time) {
	if b.tripped && now.Sub(b.lastFailure) < failureDedupWindow {
		return
	}
	if !b.tripped {
		b.backoff.Reset()
	}
	b.tripped = true
	b.lastFailure = now
	factor := 1 + probeJitter*(2*b.random.Float64()-1)
	b.nextProbe = now.Add(time.Duration(float64(b.backoff.NextBackOff()) * factor))
}

// RecordSuccess closes the breaker after the target responded.
func (b *CircuitBreaker) RecordSuccess() { b.tripped = false }

// Tripped reports whether the breaker is not closed: the target is in backoff or
// being probed.
func (b *CircuitBreaker) Tripped() bool { return b.tripped }

// NextProbe returns the time from which the target may be probed.
func (b *CircuitBreaker) NextProbe() time.Time { return b.nextProbe }

// Slots returns how many of the slots may be used: none during the backoff, one
// while the target is being probed.
func (b *CircuitBreaker) Slots(now time.Time, slots int) int {
	switch {
	case !b.tripped:
		return slots
	case now.Before(b.nextProbe):
		return 0
	default:
		return min(1, slots)
	}
}
