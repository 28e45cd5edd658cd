package schedule

import (
	"time"
)

// runningRequest is a request of this host on a target.
type runningRequest struct {
	request      *Request
	target       *target
	dispatchedAt time.Time
	// prefill is what the target has yet to compute of the prompt; the first
	// event ends it.
	prefill int
	// prefillAhead is the prompt work of the target when the request was sent, with its
	// own.
	prefillAhead int
	kv           int
	events       int
	// firstEventAt and lastAt are the times of the first and the last event.
	firstEventAt time.Time
	lastEventAt  time.Time
}
