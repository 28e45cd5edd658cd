package claim

import (
	"sync"
	"time"
)

// breakerOpenDuration is how long after a failure lookups are refused without a read.
const breakerOpenDuration = 500 * time.Millisecond

// circuitBreaker opens when the platform cannot be reached, so that requests are
// refused at once instead of each waiting for a timeout.
type circuitBreaker struct {
	mu        sync.Mutex
	openUntil time.Time
}

func (b *circuitBreaker) recordFailure(now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.openUntil = now.Add(breakerOpenDuration)
}

func (b *circuitBreaker) recordSuccess() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.openUntil = time.Time{}
}

func (b *circuitBreaker) isOpen(now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return now.Before(b.openUntil)
}
