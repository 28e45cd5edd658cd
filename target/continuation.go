package target

import "net/http"

// CheckContinuation returns an error unless the head of a response allows it to go on with a
// stream that an earlier response began.
func CheckContinuation(status int, isStream bool) error {
	if status != http.StatusOK || !isStream {
		return Error.New("target cannot resume the stream: status %d, events: %t", status, isStream)
	}
	return nil
}

// Continuation checks that the events of a response go on after the last event of the earlier
// ones. Event IDs increase, not always by one. A nil Continuation accepts all events.
type Continuation struct {
	// lastID is the ID of the last event, and events the number of those that were accepted.
	lastID uint64
	events int
}

// NewContinuation returns a Continuation of a stream after the event with an ID.
func NewContinuation(after uint64) *Continuation { return &Continuation{lastID: after} }

// Check accepts the next event, or returns an error if it does not go on with the stream.
func (c *Continuation) Check(e Event) error {
	switch {
	case c == nil || !e.HasContent:
		return nil
	case !e.HasID:
		return Error.New("resumed stream has an event without an ID after event %d", c.lastID)
	case e.ID <= c.lastID:
		return Error.New("resumed stream has event %d after event %d", e.ID, c.lastID)
	}
	c.lastID = e.ID
	c.events++
	return nil
}

// CheckEnd returns an error if the response ends without an event, which does not show that
// the stream is complete.
func (c *Continuation) CheckEnd() error {
	if c == nil || c.events > 0 {
		return nil
	}
	return Error.New("resumed stream ends without an event after event %d", c.lastID)
}
