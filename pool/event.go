package pool

import "time"

// event is one change that an owner's goroutine applies to its scheduler.
type event interface {
	apply(o *owner, now time.Time)
}
