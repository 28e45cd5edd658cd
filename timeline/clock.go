package timeline

import (
	"sync"
	"time"
)

// maxClockAdvance bounds how far a received timestamp may pull the clock forward, so
// that one host with a wrong clock doesn't spoil everyone's time line.
const maxClockAdvance = time.Minute

// Clock is a hybrid logical clock. It is safe for concurrent use.
type Clock struct {
	wall func() int64

	mu   sync.Mutex
	last Timestamp
}

// NewClock returns a clock that follows the system's wall clock.
func NewClock() *Clock {
	return NewClockFrom(func() int64 { return time.Now().UnixNano() })
}

// NewClockFrom returns a clock over another source of wall time, in Unix
// nanoseconds.
func NewClockFrom(wall func() int64) *Clock {
	return &Clock{wall: wall}
}

// Now returns a timestamp after all those returned or observed before.
func (c *Clock) Now() Timestamp {
	wall := c.wall()
	c.mu.Lock()
	defer c.mu.Unlock()
	c.last = next(c.last, wall)
	return c.last
}

// Observe notes a timestamp received from another host. Later readings come
// after it, unless it is more than a minute ahead of the wall clock: then it is
// ignored, and Observe returns false.
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
