package admission

import (
	"time"

	"github.com/cornelyard/cornelyard/ident"
	"github.com/cornelyard/cornelyard/outcome"
	"github.com/cornelyard/cornelyard/quarantine"
)

// Action is a decision for the pool owner to carry out: a *Grant, *Refuse,
// *Preempt or *Forward.
type Action interface{ action() }

// Grant gives a request one slot of a target.
type Grant struct {
	Request *Request
	Target  ident.Target
	// Suspects holds the digests of the request's content that may crash targets: the entry
	// may dispatch it only if no other run with any of them is in flight.
	Suspects []quarantine.Digest
}

// Refuse is the final response to a queued request.
type Refuse struct {
	Request    *Request
	Reason     outcome.Reason
	Message    string
	RetryAfter time.Duration
}

// Preempt orders a running request to be stopped.
type Preempt struct {
	Request    *Request
	Target     ident.Target
	RetryAfter time.Duration
}

// Forward sends a queued request to other data centres, best first. The entry
// tries them in turn and responds with Refusal if none accepts it.
type Forward struct {
	Request     *Request
	DataCentres []ident.DataCentre
	Refusal     Refuse
}

func (*Grant) action()   {}
func (*Refuse) action()  {}
func (*Preempt) action() {}
func (*Forward) action() {}
