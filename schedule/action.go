package schedule

import (
	"time"

	"github.com/cornelyard/cornelyard/ident"
	"github.com/cornelyard/cornelyard/outcome"
	"github.com/cornelyard/cornelyard/route"
)

// Action is a scheduling decision for the host to carry out: a *Dispatch, a *Divert or a
// *Refuse.
type Action interface {
	// RequestID returns the request that the decision is about.
	RequestID() ident.Request
}

// Dispatch sends a request to a target. It holds a slot of the target until
// Scheduler.Finish is called.
type Dispatch struct {
	Request ident.Request
	Target  route.Target
	// VersionUnsure says that the target may run another software version than its entry
	// says.
	VersionUnsure bool
	// QueueTime is how long the request waited in the queue.
	QueueTime time.Duration
	// CachedTokens is the number of prompt tokens that the target is predicted to have cached.
	CachedTokens int
	Inputs       Inputs
}

// Refuse is the final response to a request that was not dispatched.
type Refuse struct {
	Request    ident.Request
	Reason     outcome.Reason
	Message    string
	RetryAfter time.Duration
	// Reserved says that capacity is reserved for a caller that returns after RetryAfter.
	Reserved bool
	Inputs   Inputs
}

// RequestID implements Action.
func (d *Dispatch) RequestID() ident.Request { return d.Request }

// RequestID implements Action.
func (r *Refuse) RequestID() ident.Request { return r.Request }
