package entry

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"time"

	"github.com/cornelyard/cornelyard/admission"
	"github.com/cornelyard/cornelyard/ident"
	"github.com/cornelyard/cornelyard/internal/periodic"
	"github.com/cornelyard/cornelyard/outcome"
	"github.com/cornelyard/cornelyard/pool"
	"github.com/cornelyard/cornelyard/timeline"
	"github.com/cornelyard/cornelyard/trial"
)

const (
	// maxAttempts is the largest number of grants per request.
	maxAttempts = 8
	// noTargetRetryAfter is the retry delay if no target could be reached.
	noTargetRetryAfter = time.Second
	// failedRetryAfter is the retry delay after a failure of a target or of this host.
	failedRetryAfter = time.Second
)

// run serves the call and reports the outcome to the time line, the caller and the
// claim. It calls release as soon as the outcome is known.
func (x *execution) run(release func()) {
	refusal := x.serve()
	release()
	x.finish(refusal)
	x.response.finish(refusal)
	x.resolveClaim(refusal)
	x.cancel(nil)
}

// serve acquires and uses grants until one results in an outcome.
func (x *execution) serve() *refusal {
	defer x.endTrial(trial.Withdrawn)
	for {
		x.attempts++
		if x.attempts > maxAttempts {
			return x.notRun(outcome.NoTarget, "no target could be reached", noTargetRetryAfter)
		}
		grant, refusal := x.acquire()
		if refusal != nil {
			return refusal
		}
		result := x.useGrant(grant)
		if !result.retry {
			return result.refusal
		}
	}
}

func (x *execution) acquire() (pool.Grant, *refusal) {
	request := x.call.admissionRequest(x.entry.options.Host, slices.Clone(x.excludedTargets))
	grant, err := x.entry.options.Admitter.Acquire(x.ctx, request)
	if err == nil {
		return grant, nil
	}
	if x.ctx.Err() != nil {
		return nil, x.stoppedBeforeRun()
	}
	var r *outcome.Refusal
	if errors.As(err, &r) {
		return nil, wrapRefusal(r)
	}
	x.entry.logger().Error().Err(err).Str("request", string(x.call.id)).Msg("Acquiring a slot failed; refusing the request without running it")
	return nil, x.notRun(outcome.NoTarget, "the pool could not be asked", failedRetryAfter)
}

// useGrant dispatches the call on the grant. It declines the grant if nothing was
// sent.
func (x *execution) useGrant(grant pool.Grant) grantResult {
	if x.ctx.Err() != nil {
		grant.Decline(admission.DeclineCancelled)
		return failedResult(x.stoppedBeforeRun())
	}
	if refusal := x.beginTrial(grant); refusal != nil {
		grant.Decline(admission.DeclineTrial)
		return failedResult(refusal)
	}
	if x.call.nonIdempotent && x.claim == nil {
		if result, claimed := x.claimKey(); !claimed {
			grant.Decline(admission.DeclineClaim)
			return result
		}
	}
	if x.entry.options.TargetDraining(x.ctx, grant.Target().Name) {
		grant.Decline(admission.DeclineDraining)
		return retryResult()
	}
	if !time.Now().Before(grant.Expires()) {
		grant.Decline(admission.DeclineExpired)
		return retryResult()
	}
	return x.dispatch(grant)
}

// waitForRetry backs off before the next attempt. It returns a refusal if the
// host's retry budget is exhausted or the execution is stopped.
func (x *execution) waitForRetry() *refusal {
	if !x.entry.retries.allowRetry() {
		return x.notRun(outcome.NoTarget, "targets could not be reached, and too many requests try again", noTargetRetryAfter)
	}
	if !periodic.Sleep(x.ctx, x.retryBackoff.NextBackOff()) {
		return x.stoppedBeforeRun()
	}
	return nil
}

func (x *execution) excludeTarget(name ident.Target) {
	if !slices.Contains(x.excludedTargets, name) {
		x.excludedTargets = append(x.excludedTargets, name)
	}
}

// notRun returns the refusal for a call that did not run: no byte was sent, or the
// target stated that it ran nothing.
func (x *execution) notRun(reason outcome.Reason, message string, retryAfter time.Duration) *refusal {
	return wrapRefusal(outcome.Refuse(reason, message, retryAfter))
}

// stoppedBeforeRun returns the refusal for a call that was stopped from outside
// before any byte was sent.
func (x *execution) stoppedBeforeRun() *refusal {
	cause := stopCause(x.ctx)
	return x.notRun(cause.reason, cause.message, cause.retryAfter)
}

func stopCause(ctx context.Context) *stopError {
	var cause *stopError
	if errors.As(context.Cause(ctx), &cause) {
		return cause
	}
	return stopCallerDisconnected()
}

// finish records the outcome in the time line and the metrics.
func (x *execution) finish(r *refusal) {
	x.recordFinished(r)
	result, reason := finalOutcome(r)
	x.entry.metrics.recordFinished(x.call, result, reason)
}

// recordFinished records the outcome in the time line, once. It is called before the owner is informed
// that the request ended: the owner may refuse others from then on, and in the time line that
// must not come before the end of this one.
func (x *execution) recordFinished(r *refusal) {
	if x.finishRecorded {
		return
	}
	x.finishRecorded = true
	result, reason := finalOutcome(r)
	x.record(timeline.Event{Kind: timeline.Finished, Detail: finishDetail(result, reason)})
}

func finalOutcome(r *refusal) (outcome.Outcome, outcome.Reason) {
	if r == nil {
		return outcome.Completed, ""
	}
	return r.Outcome, r.Reason
}

func finishDetail(result outcome.Outcome, reason outcome.Reason) string {
	if reason == "" {
		return string(result)
	}
	return fmt.Sprintf("%s %s", result, reason)
}

// record adds the call's fields to the event and records it.
func (x *execution) record(e timeline.Event) {
	e.Request = x.call.id
	e.Team = x.call.identity.team
	e.Tier = x.call.identity.tier
	e.Pool = x.call.pool
	x.entry.options.Recorder.Record(e)
}
