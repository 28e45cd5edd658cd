package relay

import (
	"context"
	"errors"
	"time"

	"github.com/cornelyard/cornelyard/outcome"
	"github.com/cornelyard/cornelyard/route"
	"github.com/cornelyard/cornelyard/schedule"
	"github.com/cornelyard/cornelyard/target"
)

// attempt sends the request to one target and forwards the response to the caller.
// It returns retry=true if the request is to be sent to another target.
func (x *execution) attempt(ctx context.Context, to route.Target) (retry bool, refusal *outcome.Refusal) {
	x.target = to.Name
	start := time.Now()
	err := x.exchangeWithWatchdog(ctx, to)
	x.result = exchangeResult(ctx, err)
	x.recordStep(Step{Kind: StepAttemptEnded, Target: to.Name, Result: x.result, Duration: time.Since(start), Cause: errorText(err)})
	if x.result == schedule.Broken {
		x.checkForCrash(ctx, to)
	}
	x.relay.options.Dispatcher.finish(x.id, x.result)
	if err == nil || errors.Is(err, errErrorResponse) {
		return false, nil
	}
	if ctx.Err() != nil {
		return false, x.cancelledRefusal(ctx)
	}
	return x.handleFailure(to, err)
}

// checkForCrash finds out whether the target broke off the exchange because its process
// ended. A request that crashes targets is recognized by that.
func (x *execution) checkForCrash(ctx context.Context, to route.Target) {
	switch x.relay.options.TargetClient.Probe(ctx, to) {
	case target.ProbeRefused:
		x.relay.options.Dispatcher.recordCrash(to)
	case target.ProbeFailed:
		x.relay.options.Dispatcher.recordUnreachable(to)
	case target.ProbeConnected:
	}
}

// exchangeResult classifies the end of an exchange for the target's health.
func exchangeResult(ctx context.Context, err error) schedule.Result {
	var dispatchErr *DispatchError
	switch {
	case ctx.Err() != nil:
		return schedule.Abandoned
	case err == nil:
		return schedule.Served
	case errors.Is(err, errSinkFailed):
		return schedule.Abandoned
	case errors.Is(err, errErrorResponse), errors.Is(err, errRetryableResponse):
		return schedule.Failed
	case errors.As(err, &dispatchErr):
		return dispatchErr.Result
	default:
		return schedule.Broken
	}
}

// exchangeWithWatchdog runs an exchange and aborts it when the target stalls.
func (x *execution) exchangeWithWatchdog(ctx context.Context, to route.Target) error {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	x.watchdog = x.startWatchdog(cancel)
	defer x.watchdog.stop()
	err := x.exchange(ctx, to)
	if err != nil && errors.Is(context.Cause(ctx), errStalled) {
		return brokenError(errStalled)
	}
	return err
}

// exchange sends the request to the target and forwards the response.
func (x *execution) exchange(ctx context.Context, to route.Target) error {
	latch := new(target.SendLatch)
	x.recordFirstDispatch()
	response, err := x.relay.options.TargetClient.Send(ctx, Dispatch{
		Call:        x.call,
		Target:      to,
		Team:        x.teamName(),
		Timeout:     time.Until(x.deadline),
		ResumeAfter: x.resumeAfter(),
		Resumes:     x.resumes(),
		Latch:       latch,
	})
	if err != nil {
		x.recordDispatchError(err)
		return err
	}
	x.mayHaveRun = true
	x.dispatches++
	x.watchdog.reset()
	defer func() { _ = response.Body.Close() }()
	if response.Load >= 0 {
		x.relay.options.Dispatcher.reportLoad(x.id, response.Load)
	}
	return x.forward(response)
}

// recordFirstDispatch credits the retry budget at the first dispatch of a request.
// Later dispatches are retries, which are charged to the budget.
func (x *execution) recordFirstDispatch() {
	if x.dispatches == 0 && x.unreachableTargets == 0 {
		x.relay.options.RetryBudget.RecordRequest(time.Now(), x.pool)
	}
}

// recordDispatchError records whether the request was sent and whether it may have
// run, given the error of its dispatch.
func (x *execution) recordDispatchError(err error) {
	var dispatchErr *DispatchError
	if !errors.As(err, &dispatchErr) {
		x.mayHaveRun = true
		x.dispatches++
		return
	}
	if dispatchErr.Sent {
		x.dispatches++
	} else {
		x.unreachableTargets++
	}
	if !dispatchErr.NotRun {
		x.mayHaveRun = true
	}
}

// handleFailure decides whether a failed request is retried on another target.
func (x *execution) handleFailure(to route.Target, err error) (retry bool, refusal *outcome.Refusal) {
	x.excludeTarget(to.Name)
	denial := x.retryDenial(err)
	if denial == retryAllowed {
		x.recordStep(Step{Kind: x.retryStepKind()})
		return true, nil
	}
	x.recordStep(Step{Kind: StepRetryDenied, Target: to.Name, RetryDenial: denial})
	if x.mayHaveRun {
		return false, unknownOutcome(outcome.TargetFailed, "the target failed after the request had been sent")
	}
	return false, outcome.Refuse(outcome.NoTarget, "all targets that were tried rejected the request or were unreachable", rejectedRetryAfter)
}

// retryDenial applies the route's attempt limit and the retry budget, which it charges
// if the request is retried. A request that may have run is retried only if the route
// allows that.
func (x *execution) retryDenial(err error) RetryDenial {
	var dispatchErr *DispatchError
	switch {
	case errors.Is(err, errRetryableResponse):
		return retryAllowed
	case errors.Is(err, errSinkFailed):
		return DeniedCallerGone
	case x.mayHaveRun && !x.retryable():
		return DeniedMayHaveRun
	case x.dispatches >= x.route.MaxAttempts:
		return DeniedAttempts
	case x.triedEnoughUnreachable():
		return DeniedUnreachable
	case errors.As(err, &dispatchErr) && !dispatchErr.Sent:
		return retryAllowed
	case !x.relay.options.RetryBudget.AllowRetry(time.Now(), x.pool):
		return DeniedBudget
	default:
		return retryAllowed
	}
}

// triedEnoughUnreachable reports whether the request is not to be sent to another target
// after one that can't be reached. Where connections are refused at once, it goes on until
// it finds a target.
func (x *execution) triedEnoughUnreachable() bool {
	objective := x.call.ArrivalTime.Add(x.route.LatencyObjective)
	return x.unreachableTargets >= minUnreachable && time.Now().After(objective)
}

// retryable reports whether the route allows the request to run again, given how
// much of the response has been forwarded.
func (x *execution) retryable() bool {
	if x.delivery.headWritten {
		return x.route.Resumable && x.delivery.hasEventIDs
	}
	return x.route.Retryable() || x.route.Resumable
}

// mayRetryErrorResponse reports whether a request that a target responded to with an
// error status is retried on another target. It charges the retry to the budget.
func (x *execution) mayRetryErrorResponse() bool {
	if !x.route.Retryable() || x.dispatches >= x.route.MaxAttempts {
		return false
	}
	return x.relay.options.RetryBudget.AllowRetry(time.Now(), x.pool)
}

// retryStepKind distinguishes a full retry from the resumption of a stream.
func (x *execution) retryStepKind() StepKind {
	if x.delivery.headWritten {
		return StepResumed
	}
	return StepRetried
}

func errorText(err error) string {
	if err == nil {
		return ""
	}
	return err.Error()
}
