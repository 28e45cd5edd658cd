package entry

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"time"

	"github.com/cornelyard/cornelyard/admission"
	"github.com/cornelyard/cornelyard/ident"
	"github.com/cornelyard/cornelyard/outcome"
	"github.com/cornelyard/cornelyard/pool"
	"github.com/cornelyard/cornelyard/timeline"
)

const (
	// maxAttempts bounds the grants that one request may use up.
	maxAttempts = 8
	// noTargetRetryAfter is when to come back if no target could be reached.
	noTargetRetryAfter = time.Second
	// failedRetryAfter is when to come back after an inner failure.
	failedRetryAfter = time.Second
)

// run serves the call and tells the end to the caller, the time line and the
// claim. It calls leave when the call has reached its outcome.
func (x *execution) run(leave func()) {
	refusal := x.serve()
	leave()
	x.finish(refusal)
	x.reply.end(refusal)
	x.settleClaim(refusal)
	x.cancel(nil)
}

// serve takes grants until one of them leads to an outcome.
func (x *execution) serve() *refusal {
	for {
		x.attempts++
		if x.attempts > maxAttempts {
			return x.notRun(outcome.NoTarget, "no target could be reached", noTargetRetryAfter)
		}
		grant, refusal := x.acquire()
		if refusal != nil {
			return refusal
		}
		v := x.use(grant)
		if !v.again {
			return v.refusal
		}
	}
}

func (x *execution) acquire() (pool.Grant, *refusal) {
	request := x.call.admissionRequest(x.entry.options.Host, slices.Clone(x.avoid))
	grant, err := x.entry.options.Admitter.Acquire(x.ctx, request)
	if err == nil {
		return grant, nil
	}
	if x.ctx.Err() != nil {
		return nil, x.stoppedBeforeRun()
	}
	var r *outcome.Refusal
	if errors.As(err, &r) {
		return nil, refused(r)
	}
	x.entry.logger().Error().Err(err).Str("request", string(x.call.id)).Msg("Acquiring a slot failed")
	return nil, x.notRun(outcome.NoTarget, "the pool could not be asked", failedRetryAfter)
}

// use spends a grant. It declines the grant if nothing was sent.
func (x *execution) use(grant pool.Grant) verdict {
	if x.ctx.Err() != nil {
		grant.Decline(admission.DeclineCancelled)
		return failed(x.stoppedBeforeRun())
	}
	if x.call.nonIdempotent && x.claim == nil {
		if v, claimed := x.claimKey(); !claimed {
			grant.Decline(admission.DeclineClaim)
			return v
		}
	}
	if x.entry.options.TargetLeaving(x.ctx, grant.Target().Name) {
		grant.Decline(admission.DeclineLeaving)
		return tryAgain()
	}
	if !time.Now().Before(grant.Expires()) {
		grant.Decline(admission.DeclineExpired)
		return tryAgain()
	}
	return x.dispatch(grant)
}

// pause waits before the next attempt, within the host's retry budget.
func (x *execution) pause() *refusal {
	if !x.entry.retries.take() {
		return x.notRun(outcome.NoTarget, "targets could not be reached, and too many requests try again", noTargetRetryAfter)
	}
	timer := time.NewTimer(x.waits.NextBackOff())
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-x.ctx.Done():
		return x.stoppedBeforeRun()
	}
}

func (x *execution) avoidTarget(name ident.Target) {
	if !slices.Contains(x.avoid, name) {
		x.avoid = append(x.avoid, name)
	}
}

// notRun is the end of a call whose latch was never set.
func (x *execution) notRun(reason outcome.Reason, message string, retryAfter time.Duration) *refusal {
	return refused(outcome.Refuse(reason, message, retryAfter))
}

// stoppedBeforeRun is the end of a call that was stopped from outside before
// any byte was sent.
func (x *execution) stoppedBeforeRun() *refusal {
	cause := stopCause(x.ctx)
	return x.notRun(cause.reason, cause.message, cause.retryAfter)
}

func stopCause(ctx context.Context) *stop {
	var cause *stop
	if errors.As(context.Cause(ctx), &cause) {
		return cause
	}
	return stopCallerGone()
}

// finish records the outcome.
func (x *execution) finish(r *refusal) {
	result, reason := outcome.Completed, outcome.Reason("")
	if r != nil {
		result, reason = r.Outcome, r.Reason
	}
	x.record(timeline.Event{Kind: timeline.Finished, Detail: finishDetail(result, reason)})
	x.entry.metrics.finished(x.call, result, reason)
}

func finishDetail(result outcome.Outcome, reason outcome.Reason) string {
	if reason == "" {
		return string(result)
	}
	return fmt.Sprintf("%s %s", result, reason)
}

// record fills in what all events of the call have in common.
func (x *execution) record(e timeline.Event) {
	e.Request = x.call.id
	e.Team = x.call.identity.team
	e.Tier = x.call.identity.tier
	e.Pool = x.call.pool
	x.entry.options.Recorder.Record(e)
}
