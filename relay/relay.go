package relay

import (
	"context"
	"math/rand/v2"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/cornelyard/cornelyard/ident"
	"github.com/cornelyard/cornelyard/outcome"
	"github.com/cornelyard/cornelyard/quota"
	"github.com/cornelyard/cornelyard/retrybudget"
	"github.com/cornelyard/cornelyard/route"
)

// Options configures a Relay. All fields are required.
type Options struct {
	// Table returns the configuration in force, or nil.
	Table      func() *route.Table
	Dispatcher *Dispatcher
	Exchanger  Exchanger
	Quotas     *quota.Limiter
	Retries    *retrybudget.Budget
	Observer   Observer
}

// Relay serves requests.
type Relay struct {
	options  Options
	inFlight atomic.Int64
	accepted atomic.Uint64
}

// New returns a Relay.
func New(o Options) *Relay { return &Relay{options: o} }

// InFlight returns the number of requests that have no final answer yet.
func (r *Relay) InFlight() int { return int(r.inFlight.Load()) }

// Serve serves one request. The end of ctx means that the caller has left.
func (r *Relay) Serve(ctx context.Context, call *Call, sink Sink) End {
	r.inFlight.Add(1)
	defer r.inFlight.Add(-1)
	x := &execution{id: r.newID(), relay: r, call: call, sink: sink}
	refusal := x.run(ctx)
	r.options.Observer.Finished(x.summary(refusal))
	switch {
	case refusal == nil:
		return End{}
	case x.relayed.begun:
		return End{BrokenOff: true}
	default:
		return End{Refused: &Refused{Status: status(refusal), Refusal: refusal}}
	}
}

func (r *Relay) newID() ident.Request {
	return ident.Request(strconv.FormatUint(r.accepted.Add(1), 36))
}

// End tells the front end what is left to do. With the zero value the whole answer
// was written to the sink.
type End struct {
	// Refused, if not nil, is the final answer to write.
	Refused *Refused
	// BrokenOff says that the answer in the sink is not whole, which the caller
	// must notice.
	BrokenOff bool
}

// Refused is a final answer of the system's own.
type Refused struct {
	Status int
	*outcome.Refusal
}

// deadlineOf returns when the request must have its final answer.
func deadlineOf(call *Call, r *route.Route) time.Time {
	limit := call.Patience
	if r.Timeout > 0 && (limit == 0 || r.Timeout < limit) {
		limit = r.Timeout
	}
	if limit == 0 {
		limit = defaultTimeout
	}
	return call.Arrived.Add(limit)
}

// defaultTimeout bounds requests for which neither caller nor route tells a time.
const defaultTimeout = 30 * time.Second

func draw() float64 { return rand.Float64() }
