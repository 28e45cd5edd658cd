package routing

import "time"

// FastestTimes holds the shortest predicted times of a piece of work over the
// targets of a pool.
type FastestTimes struct {
	// Loaded is the time at the current load.
	Loaded time.Duration
	// Idle is the time on an idle target.
	Idle time.Duration
}
