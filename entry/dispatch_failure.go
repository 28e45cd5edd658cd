package entry

import (
	"context"
	"errors"
	"time"

	"github.com/cornelyard/cornelyard/admission"
	"github.com/cornelyard/cornelyard/outcome"
	"github.com/cornelyard/cornelyard/settings"
	"github.com/cornelyard/cornelyard/target"
	"github.com/cornelyard/cornelyard/trial"
)

// handleFailure derives the outcome of a failed exchange from the latch.
func (d *dispatch) handleFailure(err error, tokens int, prefill time.Duration) grantResult {
	if d.call.Latch.Cancel() {
		return d.handleUnsent(err)
	}
	var failure *target.Failure
	errors.As(err, &failure)
	if failure != nil && failure.Kind == target.FailedDraining {
		return d.handleDrainingTarget()
	}
	refusal := d.refusalAfterSend(err, failure)
	e := d.newEnd(refusal.Outcome, refusal.Reason, tokens, prefill)
	e.ConnectionLost = refusal.Reason == outcome.TargetFailed && failure != nil && failure.Kind == target.FailedConnection
	e.TargetCrashed = e.ConnectionLost && d.targetEnded()
	d.x.recordFinished(refusal)
	d.end(e)
	d.cancelOnTarget()
	return failedResult(refusal)
}

// targetEnded reports whether the target, which has broken off the exchange, has no process
// any more. One that does not respond counts as ended, but not for the trial of its content.
func (d *dispatch) targetEnded() bool {
	switch target.Probe(context.WithoutCancel(d.ctx), d.call.Target.Address) {
	case target.ProbeRefused:
		return true
	case target.ProbeFailed:
		return d.x.trial == nil
	default:
		return false
	}
}

// end returns the grant of a failed exchange. If a trial crashed its target, that waits for
// other targets that ended at the same time.
func (d *dispatch) end(e admission.End) {
	run, witness := d.x.takeTrial()
	if run == nil || !e.TargetCrashed {
		d.x.storeTrialEnd(run, trial.Inconclusive)
		d.grant.End(e)
		return
	}
	go func() {
		result := trial.Crashed
		for _, lost := range witness.Lost(context.WithoutCancel(d.ctx)) {
			e.LostTargets = append(e.LostTargets, lost.Name)
			result = trial.Inconclusive
		}
		d.x.storeTrialEnd(run, result)
		d.grant.End(e)
	}()
}

// handleUnsent declines a grant for which no byte was sent.
func (d *dispatch) handleUnsent(err error) grantResult {
	if d.ctx.Err() != nil {
		d.grant.Decline(admission.DeclineCancelled)
		cause := stopCause(d.ctx)
		return failedResult(d.x.notRun(cause.reason, cause.message, cause.retryAfter))
	}
	var failure *target.Failure
	if errors.As(err, &failure) && failure.Kind == target.FailedExpired {
		d.grant.Decline(admission.DeclineExpired)
		return retryResult()
	}
	d.grant.Decline(admission.DeclineDial)
	d.x.excludeTarget(d.call.Target.Name)
	if refusal := d.x.waitForRetry(); refusal != nil {
		return failedResult(refusal)
	}
	return retryResult()
}

// handleDrainingTarget retries on another target. The draining target stated that
// it ran nothing.
func (d *dispatch) handleDrainingTarget() grantResult {
	d.grant.Decline(admission.DeclineDraining)
	d.x.excludeTarget(d.call.Target.Name)
	return retryResult()
}

// refusalAfterSend returns the refusal for a call of which bytes were sent. Its
// outcome states no more than is known about the execution.
func (d *dispatch) refusalAfterSend(err error, failure *target.Failure) *refusal {
	r := &outcome.Refusal{Outcome: outcome.Unknown}
	if d.knownStarted(failure) {
		r.Outcome = outcome.Interrupted
	}
	switch {
	case d.ctx.Err() != nil:
		cause := stopCause(d.ctx)
		r.Reason, r.Message, r.RetryAfter = cause.reason, cause.message, cause.retryAfter
	case errors.Is(err, errSlowCaller):
		cause := stopSlowCaller()
		r.Reason, r.Message, r.RetryAfter = cause.reason, cause.message, cause.retryAfter
	default:
		r.Reason, r.Message = outcome.TargetFailed, failureMessage(failure)
		r.RetryAfter = failedRetryAfter
	}
	return wrapRefusal(r)
}

// knownStarted reports whether the call is known to have started without
// completing: the target responded in part or with an error, or an engine was ordered
// to stop. Whether a plain service stops after a disconnect is not known.
func (d *dispatch) knownStarted(failure *target.Failure) bool {
	if d.responseStarted || (failure != nil && failure.Kind == target.FailedStatus) {
		return true
	}
	return d.ctx.Err() != nil && d.call.Kind == settings.EnginePool
}

func failureMessage(failure *target.Failure) string {
	if failure == nil {
		return "the target failed after the request had been sent"
	}
	switch failure.Kind {
	case target.FailedIDMismatch:
		return "the target sent an answer that belongs to another request; it was dropped"
	case target.FailedProtocol:
		return "the target's answer was not whole or not valid"
	case target.FailedStatus:
		return "the target reported an error"
	default:
		return "the connection to the target broke after the request had been sent"
	}
}

// cancelOnTarget cancels the call on an engine that would otherwise keep running
// so that the stream can be resumed.
func (d *dispatch) cancelOnTarget() {
	ctx := context.WithoutCancel(d.ctx)
	go d.x.entry.options.Targets.Cancel(ctx, d.call)
}
