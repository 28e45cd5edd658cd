package admission

import (
	"time"

	"github.com/cornelyard/cornelyard/ident"
	"github.com/cornelyard/cornelyard/outcome"
)

// Action is what the pool owner has to carry out: a *Grant, *Refuse, *Preempt
// or *Forward.
type Action interface{ action() }

// Grant gives a request one slot of a target.
type Grant struct {
	Request *Request
	Target  ident.Target
}

// Refuse gives a queued request its final answer.
type Refuse struct {
	Request    *Request
	Reason     outcome.Reason
	Message    string
	RetryAfter time.Duration
}

// Preempt orders a request in service to be stopped.
type Preempt struct {
	Request    *Request
	Target     ident.Target
	RetryAfter time.Duration
}

// Forward sends a queued request to other data centres, best first; the entry
// tries them in turn and refuses as Refusal says if none takes it.
type Forward struct {
	Request     *Request
	DataCentres []ident.DataCentre
	Refusal     Refuse
}

func (*Grant) action()   {}
func (*Refuse) action()  {}
func (*Preempt) action() {}
func (*Forward) action() {}
