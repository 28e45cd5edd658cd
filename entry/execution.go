package entry

import (
	"context"
	"sync"
	"time"

	"github.com/cenkalti/backoff/v5"

	"github.com/cornelyard/cornelyard/claim"
	"github.com/cornelyard/cornelyard/ident"
	"github.com/cornelyard/cornelyard/outcome"
	"github.com/cornelyard/cornelyard/target"
)

// execution carries one call from its acceptance to its outcome. It runs apart
// from the caller's connection, which takes the answer from reply.
type execution struct {
	entry *Entry
	call  *call
	reply *reply

	ctx    context.Context
	cancel context.CancelCauseFunc

	// mu guards latch and detachCause.
	mu sync.Mutex
	// latch is the current dispatch's, or nil before the first one.
	latch *target.SendLatch
	// detachCause is why the call goes on without its caller, or nil.
	detachCause *stop
	// detached is closed when detachCause is set.
	detached chan struct{}

	// What follows belongs to the execution's goroutine.
	avoid    []ident.Target
	attempts int
	waits    backoff.BackOff
	claim    *claim.Claim
	kept     *keeper
}

const (
	// maxDetached bounds how long a call goes on without its caller.
	maxDetached = 10 * time.Minute

	// detachedRetryAfter is when to ask for the answer of such a call.
	detachedRetryAfter = 2 * time.Second

	retryFirstWait = 10 * time.Millisecond
	retryLongWait  = 500 * time.Millisecond
)

func newExecution(e *Entry, ctx context.Context, cancel context.CancelCauseFunc) *execution {
	waits := backoff.NewExponentialBackOff()
	waits.InitialInterval = retryFirstWait
	waits.MaxInterval = retryLongWait
	return &execution{
		entry:  e,
		reply:  newReply(e.options.Limits.StreamBufferBytes),
		ctx:    ctx,
		cancel: cancel,
		waits:  waits,

		detached: make(chan struct{}),
	}
}

// abandon stops the execution for its caller's sake. A non-idempotent call that
// was dispatched goes on for a bounded time, so that its answer can be kept.
func (x *execution) abandon(cause *stop) {
	x.mu.Lock()
	defer x.mu.Unlock()
	if x.call == nil || !x.call.nonIdempotent || x.latch == nil || x.latch.Cancel() {
		x.cancel(cause)
		return
	}
	if x.detachCause == nil {
		x.detachCause = cause
		close(x.detached)
		time.AfterFunc(maxDetached, func() { x.cancel(cause) })
	}
}

// newLatch starts a dispatch. It returns nil if the execution was stopped.
func (x *execution) newLatch() *target.SendLatch {
	x.mu.Lock()
	defer x.mu.Unlock()
	if x.ctx.Err() != nil {
		return nil
	}
	x.latch = new(target.SendLatch)
	return x.latch
}

// state tells the occupancy how costly it is to give the request up.
func (x *execution) state() occupantState {
	x.mu.Lock()
	defer x.mu.Unlock()
	switch {
	case x.latch == nil || !x.latch.IsSet():
		return waiting
	case x.call.nonIdempotent:
		return unstoppable
	default:
		return running
	}
}

// setCall completes the execution before it runs.
func (x *execution) setCall(c *call) {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.call = c
}

// detachedRefusal tells the caller of a detached call what is known.
func (x *execution) detachedRefusal() *refusal {
	x.mu.Lock()
	defer x.mu.Unlock()
	return refused(&outcome.Refusal{
		Outcome:    outcome.Unknown,
		Reason:     x.detachCause.reason,
		Message:    "the request goes on; ask for its answer with the same idempotency key",
		RetryAfter: detachedRetryAfter,
	})
}
