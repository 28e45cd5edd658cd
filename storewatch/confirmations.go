package storewatch

import (
	"slices"
	"sync"
	"time"
)

// confirmations holds who waits until a call for a table has ended. It is safe for concurrent use.
type confirmations struct {
	mu      sync.Mutex
	waiting []confirmation
}

// confirmation is wanted of a call that is made after a moment.
type confirmation struct {
	after time.Time
	done  chan struct{}
}

// begin returns a channel that is closed when a call that was made after a moment has ended.
func (c *confirmations) begin(after time.Time) <-chan struct{} {
	c.mu.Lock()
	defer c.mu.Unlock()
	done := make(chan struct{})
	c.waiting = append(c.waiting, confirmation{after: after, done: done})
	return done
}

// end records that a call made at a moment has brought the newest rows.
func (c *confirmations) end(made time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.waiting = slices.DeleteFunc(c.waiting, func(w confirmation) bool {
		if made.Before(w.after) {
			return false
		}
		close(w.done)
		return true
	})
}
