package schedule

import (
	"time"

	"github.com/cornelyard/cornelyard/ident"
	"github.com/cornelyard/cornelyard/outcome"
	"github.com/cornelyard/cornelyard/route"
)

// Action is what the host has to carry out: a *Dispatch or a *Refuse.
type Action interface {
	// RequestID names the request that it is about.
	RequestID() ident.Request
}

// Dispatch sends a request to a target. The slot is taken until End.
type Dispatch struct {
	Request ident.Request
	Target  route.Target
	// QueueTime is how long the request waited.
	QueueTime time.Duration
	Inputs    Inputs
}

// Refuse gives a request its final answer; it did not run.
type Refuse struct {
	Request    ident.Request
	Reason     outcome.Reason
	Message    string
	RetryAfter time.Duration
	Inputs     Inputs
}

// RequestID implements Action.
func (d *Dispatch) RequestID() ident.Request { return d.Request }

// RequestID implements Action.
func (r *Refuse) RequestID() ident.Request { return r.Request }
