package pool

import "context"

// runningOwner is an owner whose goroutine is running.
type runningOwner struct {
	*owner
	stop context.CancelFunc
}
