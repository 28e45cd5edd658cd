package pool

import "time"

// event is a change that the goroutine of an owner applies to its scheduler.
type event interface {
	apply(o *owner, now time.Time)
}
