package relay

import (
	"context"
	"errors"
	"sync/atomic"
	"time"

	"github.com/cornelyard/cornelyard/outcome"
)

const (
	// stoppingMessage is sent to callers whose requests this host can't finish.
	stoppingMessage = "this host stops"
	// stoppingRetryAfter is short, since the caller can retry at another host.
	stoppingRetryAfter = 100 * time.Millisecond
)

// errStopping is the cancellation cause of requests that are in progress when this host stops.
var errStopping = errors.New(stoppingMessage)

// stopper ends all requests at the moment at which this host stops.
type stopper struct {
	// at is that moment, or nil while it isn't known.
	at      atomic.Pointer[time.Time]
	stopped context.Context
	stop    context.CancelFunc
}

func newStopper() *stopper {
	s := &stopper{}
	s.stopped, s.stop = context.WithCancel(context.Background())
	return s
}

// Stop announces that this host serves until a moment. Requests that are in progress then get their final
// responses.
func (r *Relay) Stop(at time.Time) {
	r.stopper.at.Store(&at)
	time.AfterFunc(time.Until(at), r.stopper.stop)
}

// Stopped is done from the moment at which this host serves no more requests.
func (r *Relay) Stopped() context.Context { return r.stopper.stopped }

// StoppingRefusal returns the refusal of a request that has not run because this host stops.
func StoppingRefusal() *outcome.Refusal {
	return outcome.Refuse(outcome.Draining, stoppingMessage, stoppingRetryAfter)
}

// withStop returns a context that is cancelled with errStopping when this host stops. The caller calls the
// function when the request has ended.
func (r *Relay) withStop(ctx context.Context) (context.Context, func()) {
	ctx, cancel := context.WithCancelCause(ctx)
	release := context.AfterFunc(r.stopper.stopped, func() { cancel(errStopping) })
	return ctx, func() {
		release()
		cancel(nil)
	}
}

// timeLeft returns the time until the request's deadline, or until this host stops.
func (x *execution) timeLeft() time.Duration {
	left := time.Until(x.deadline)
	if at := x.relay.stopper.at.Load(); at != nil {
		left = min(left, time.Until(*at))
	}
	return left
}

// stoppingRefusal returns the final response to a request that this host did not finish.
func (x *execution) stoppingRefusal() *outcome.Refusal {
	if x.mayHaveRun {
		return unknownOutcome(outcome.Draining, stoppingMessage)
	}
	return StoppingRefusal()
}
