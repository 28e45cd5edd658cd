package routing

import "time"

// FastestTimes holds the least predicted times of a piece of work over a pool.
type FastestTimes struct {
	// Loaded is the time beside what is in service now.
	Loaded time.Duration
	// Idle is the time on an idle pool.
	Idle time.Duration
}
