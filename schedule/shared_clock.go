package schedule

import "time"

const (
	// maxClockStep is the largest change of the difference between the shared and the local clock
	// that is no jump. A smaller one leaves callers that return when they are told to within the
	// time in which they are due.
	maxClockStep = 50 * time.Millisecond
	// clockSettleTime is how long the shared clock counts as unknown after a jump.
	clockSettleTime = 2 * time.Second
)

// sharedClock is a clock that all hosts share, and that may be unknown or jump.
type sharedClock struct {
	// read returns the time in milliseconds, or 0 while it is unknown.
	read     func(now time.Time) int64
	offsetMs int64
	known    bool
	jumpedAt time.Time
}

// now returns the time in milliseconds, or 0 while it is unknown or not settled.
func (c *sharedClock) now(now time.Time) int64 {
	if c.read == nil {
		return 0
	}
	nowMs := c.read(now)
	if nowMs == 0 {
		return 0
	}
	offset := nowMs - now.UnixMilli()
	change := time.Duration(offset-c.offsetMs) * time.Millisecond
	if c.known && change.Abs() > maxClockStep {
		c.jumpedAt = now
	}
	c.offsetMs, c.known = offset, true
	if now.Sub(c.jumpedAt) < clockSettleTime {
		return 0
	}
	return nowMs
}
