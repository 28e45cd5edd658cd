package storewatch

import (
	"sync"
	"time"
)

// Clock estimates the store's steady clock, which serves all hosts as a common
// clock.
type Clock struct {
	mu        sync.Mutex
	readingMs int64
	readAt    time.Time
}

// Update records a reading taken at the local time now; a reading of 0 is ignored.
func (c *Clock) Update(now time.Time, readingMs int64) {
	if readingMs == 0 {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.readingMs, c.readAt = readingMs, now
}

// Now returns the estimated reading in milliseconds at the local time now, or 0
// before the first Update.
func (c *Clock) Now(now time.Time) int64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.readAt.IsZero() {
		return 0
	}
	return c.readingMs + now.Sub(c.readAt).Milliseconds()
}
