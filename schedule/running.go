package schedule

import (
	"time"
)

// running is a request of this host on a target.
type running struct {
	request *Request
	target  *target
	since   time.Time
	// prefill is what the target has yet to compute of the prompt; the first
	// event ends it.
	prefill int
	// ahead is the prompt work of the target when the request was sent, with its
	// own.
	ahead  int
	kv     int
	events int
	// firstAt and lastAt are the times of the first and the last event.
	firstAt time.Time
	lastAt  time.Time
}
