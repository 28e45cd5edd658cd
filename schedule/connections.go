package schedule

import "time"

const (
	// newConnectionCost is the cost, in seconds, of opening a connection to a target: 1 ms at the
	// target, and about fifteen system calls, which take a host with a fifth of a processor half of
	// one. The round trip to other data centres is not part of it.
	newConnectionCost = 0.0015
	// maxIdleConnections bounds the idle connections of this host to one target.
	maxIdleConnections = 64
)

// connections estimates the idle connections of this host to one target from its requests, as a pool
// that reuses the newest connection and closes idle ones after a time.
type connections struct {
	// idleSince holds since when each one is idle, oldest first.
	idleSince []time.Time
}

// hasIdle reports whether a connection is idle for less than the given time.
func (c *connections) hasIdle(now time.Time, idleTime time.Duration) bool {
	n := len(c.idleSince)
	return n > 0 && now.Sub(c.idleSince[n-1]) < idleTime
}

// take removes the idle connection that a request uses, if there is one.
func (c *connections) take(now time.Time, idleTime time.Duration) {
	if !c.hasIdle(now, idleTime) {
		c.idleSince = c.idleSince[:0]
		return
	}
	c.idleSince = c.idleSince[:len(c.idleSince)-1]
}

// release adds the connection of a request whose response was read to its end.
func (c *connections) release(now time.Time) {
	if len(c.idleSince) == maxIdleConnections {
		copy(c.idleSince, c.idleSince[1:])
		c.idleSince = c.idleSince[:maxIdleConnections-1]
	}
	c.idleSince = append(c.idleSince, now)
}
