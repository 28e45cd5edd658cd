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
	"github.com/cornelyard/cornelyard/trial"
)

// execution runs one call until its outcome. It is independent of the caller's
// connection, which reads the response from the response buffer.
type execution struct {
	entry    *Entry
	call     *call
	response *responseBuffer

	ctx    context.Context
	cancel context.CancelCauseFunc

	// mu guards latch and detachCause.
	mu sync.Mutex
	// latch belongs to the current dispatch; it is nil before the first one.
	latch *target.SendLatch
	// detachCause is why the call continues without its caller, or nil.
	detachCause *stopError
	// detached is closed when detachCause is set.
	detached chan struct{}

	// The fields below are used only by the execution's goroutine.
	excludedTargets []ident.Target
	attempts        int
	retryBackoff    backoff.BackOff
	claim           *claim.Claim
	// trial is the trial that was begun for this call and has not ended, or nil.
	trial    *trial.Run
	witness  *trial.Witness
	recorder *responseRecorder
	// finishRecorded says that the outcome is in the time line.
	finishRecorded bool
}

const (
	// maxDetachedTime limits how long a call continues without its caller.
	maxDetachedTime = 10 * time.Minute

	// detachedRetryAfter is when the caller may ask for the response of such a call.
	detachedRetryAfter = 2 * time.Second

	retryInitialInterval = 10 * time.Millisecond
	retryMaxInterval     = 500 * time.Millisecond
)

func newExecution(e *Entry, ctx context.Context, cancel context.CancelCauseFunc) *execution {
	retryBackoff := backoff.NewExponentialBackOff()
	retryBackoff.InitialInterval = retryInitialInterval
	retryBackoff.MaxInterval = retryMaxInterval
	return &execution{
		entry:        e,
		response:     newResponseBuffer(e.options.Limits.StreamBufferBytes),
		ctx:          ctx,
		cancel:       cancel,
		retryBackoff: retryBackoff,

		detached: make(chan struct{}),
	}
}

// abandon cancels the execution because its caller has disconnected or its
// deadline has passed. A non-idempotent call that was dispatched continues for up
// to maxDetachedTime instead, so that its response can be stored.
func (x *execution) abandon(cause *stopError) {
	x.mu.Lock()
	defer x.mu.Unlock()
	if x.call == nil || !x.call.nonIdempotent || x.latch == nil || x.latch.Cancel() {
		x.cancel(cause)
		return
	}
	if x.detachCause == nil {
		x.detachCause = cause
		close(x.detached)
		time.AfterFunc(maxDetachedTime, func() { x.cancel(cause) })
	}
}

// newLatch returns the latch for a new dispatch, or nil if the execution was
// cancelled.
func (x *execution) newLatch() *target.SendLatch {
	x.mu.Lock()
	defer x.mu.Unlock()
	if x.ctx.Err() != nil {
		return nil
	}
	x.latch = new(target.SendLatch)
	return x.latch
}

// state returns how costly it is to evict the request.
func (x *execution) state() requestState {
	x.mu.Lock()
	defer x.mu.Unlock()
	switch {
	case x.latch == nil || !x.latch.IsSet():
		return queued
	case x.call.nonIdempotent:
		return unevictable
	default:
		return dispatched
	}
}

// setCall sets the call. It must be called before run.
func (x *execution) setCall(c *call) {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.call = c
}

// detachedRefusal is reported to the caller of a detached call.
func (x *execution) detachedRefusal() *refusal {
	x.mu.Lock()
	defer x.mu.Unlock()
	return wrapRefusal(&outcome.Refusal{
		Outcome:    outcome.Unknown,
		Reason:     x.detachCause.reason,
		Message:    "the request goes on; ask for its answer with the same idempotency key",
		RetryAfter: detachedRetryAfter,
	})
}
