package timeline

import (
	"sync"
	"time"
)

// maxClockAdvance bounds how far a received timestamp may be ahead of the local
// wall clock, so that one host with a wrong clock can't shift the timestamps of
// all others.
const maxClockAdvance = time.Minute

// Clock is a hybrid logical clock. It is safe for concurrent use.
type Clock struct {
	wall func() int64

	mu   sync.Mutex
	last Timestamp
}

// NewClock returns a clock based on the system's wall clock.
func NewClock() *Clock {
	return NewClockFrom(func() int64 { return time.Now().UnixNano() })
}

// NewClockFrom returns a clock based on wall, which returns Unix time in
// nanoseconds.
func NewClockFrom(wall func() int64) *Clock {
	return &Clock{wall: wall}
}

// Now returns a timestamp later than all those returned or observed before.
func (c *Clock) Now() Timestamp {
	wall := c.wall()
	c.mu.Lock()
	defer c.mu.Unlock()
	c.last = next(c.last, wall)
	return c.last
}

// Observe advances the clock to a timestamp received from another host, so that
// subsequent readings are later than it. A timestamp more than maxClockAdvance
// ahead of the wall clock is ignored, and Observe returns false.
func (c *Clock) Observe(remote Timestamp) bool {
	wall := c.wall()
	if remote.Wall-wall > int64(maxClockAdvance) {
		return false
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.last.Before(remote) {
		c.last = remote
	}
	return true
}

func next(last Timestamp, wall int64) Timestamp {
	if wall > last.Wall {
		return Timestamp{Wall: wall}
	}
	if last.Logical == ^uint32(0) {
		return Timestamp{Wall: last.Wall + 1}
	}
	return Timestamp{Wall: last.Wall, Logical: last.Logical + 1}
}
