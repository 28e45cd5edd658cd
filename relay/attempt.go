package relay

import (
	"context"
	"errors"
	"net/http"
	"time"

	"github.com/cornelyard/cornelyard/outcome"
	"github.com/cornelyard/cornelyard/route"
	"github.com/cornelyard/cornelyard/schedule"
	"github.com/cornelyard/cornelyard/target"
	"github.com/cornelyard/cornelyard/trial"
)

// attempt sends the request to one target and forwards the response to the caller.
// It returns retry=true if the request goes on with another run.
func (x *execution) attempt(ctx context.Context, r *run) (retry bool, refusal *outcome.Refusal) {
	defer r.cancel(nil)
	x.target = r.target.Name
	x.hedge = x.supervise(ctx, r)
	err := x.exchange(r)
	x.result = exchangeResult(ctx, err)
	successor := x.hedge.end(endedWithoutResponse(x.result, err))
	x.recordStep(Step{Kind: StepAttemptEnded, Target: r.target.Name, Result: x.result, Duration: time.Since(r.started), Cause: errorText(err)})
	if successor != nil {
		x.excludeTarget(r.target.Name)
		x.successor = successor
		x.recordStep(Step{Kind: x.retryStepKind()})
		go x.endFailed(r, err)
		return true, nil
	}
	x.endRun(ctx, r)
	if err == nil || errors.Is(err, errErrorResponse) {
		return false, nil
	}
	if ctx.Err() != nil {
		return false, x.cancelledRefusal(ctx)
	}
	return x.handleFailure(r.target, err)
}

// endRun frees the slot of the current run.
func (x *execution) endRun(ctx context.Context, r *run) {
	if errors.Is(context.Cause(ctx), errDeadlineExceeded) {
		x.relay.options.Dispatcher.recordOutOfTime(r.slot)
	}
	if !r.responded && errors.Is(context.Cause(ctx), errDeadlineExceeded) {
		go x.endUnanswered(r, x.result)
		return
	}
	x.endProbed(ctx, r, x.result)
}

// endProbed frees the slot of a run, after a probe of the target if that broke it off.
func (x *execution) endProbed(ctx context.Context, r *run, result schedule.Result) {
	probe := target.ProbeConnected
	if result == schedule.Broken {
		probe = x.checkForCrash(ctx, r.target)
	}
	x.relay.options.Dispatcher.finish(r.slot, result)
	x.endTrial(r, trialResult(result, probe))
}

// endUnanswered frees the slot of a run that had no response by its deadline. Its target
// may have ended without a sign on the connection.
func (x *execution) endUnanswered(r *run, result schedule.Result) {
	x.checkForCrash(context.Background(), r.target)
	x.relay.options.Dispatcher.finish(r.slot, result)
	x.endTrial(r, trial.Inconclusive)
}

// endFailed frees the slot of a run that failed while the request goes on elsewhere.
func (x *execution) endFailed(r *run, err error) {
	x.endProbed(context.Background(), r, exchangeResult(context.Background(), err))
}

// checkForCrash finds out whether the target broke off the exchange because its process
// ended. A request that crashes targets is recognized by that.
func (x *execution) checkForCrash(ctx context.Context, to route.Target) target.ProbeResult {
	result := x.relay.options.TargetClient.Probe(ctx, to)
	x.relay.options.Dispatcher.options.OnProbe(x.content.Whole, to, result)
	switch result {
	case target.ProbeRefused:
		x.relay.options.Dispatcher.recordCrash(to)
	case target.ProbeFailed:
		x.relay.options.Dispatcher.recordUnreachable(to)
	case target.ProbeConnected:
		x.relay.options.Dispatcher.recordBrokenOff(to)
	}
	return result
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

// endedWithoutResponse reports whether a run failed so that the caller still needs the
// response, or the remainder of it, from another run.
func endedWithoutResponse(result schedule.Result, err error) bool {
	return result != schedule.Served && result != schedule.Abandoned && !errors.Is(err, errErrorResponse)
}

// exchange sends the request to the target, unless that was done already, and forwards the
// response.
func (x *execution) exchange(r *run) error {
	if !r.counted {
		x.recordFirstDispatch()
		x.send(r, x.dispatch(r))
	}
	result := <-r.head
	err := result.err
	if err == nil {
		err = x.receive(r, result.response)
	} else {
		x.mu.Lock()
		x.recordDispatchError(r, err)
		x.mu.Unlock()
	}
	if err != nil && errors.Is(context.Cause(r.ctx), errStalled) {
		return brokenError(errStalled)
	}
	return err
}

// receive records a response whose head has arrived and forwards it.
func (x *execution) receive(r *run, response *Response) error {
	defer func() { _ = response.Body.Close() }()
	x.relay.options.Dispatcher.reportResponse(r, response)
	if response.Unframed {
		response.Body = &unframedBody{ReadCloser: response.Body, targetEnded: func() bool { return x.targetEnded(r) }}
	}
	if err := x.recordHead(r); err != nil {
		return err
	}
	return x.forward(r, response)
}

// recordHead records that the head of the run's response has arrived. It returns errStalled
// if another run has replaced this one. Only what can be forwarded counts as progress.
func (x *execution) recordHead(r *run) error {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.mayHaveRun = true
	r.responded = true
	x.countDispatch(r)
	return x.hedge.replaced()
}

// recordFirstDispatch credits the retry budget at the first dispatch of a request.
// Later dispatches are retries, which are charged to the budget. A request that another host
// passed on may have been credited there.
func (x *execution) recordFirstDispatch() {
	if x.dispatches == 0 && x.unreachableTargets == 0 && !x.call.PassedOn {
		x.relay.options.RetryBudget.RecordRequest(time.Now(), x.pool)
	}
}

// countDispatch counts a run as a dispatch that reached a target, once. x.mu must be held.
func (x *execution) countDispatch(r *run) {
	if !r.counted {
		r.counted = true
		x.dispatches++
	}
}

// recordDispatchError records whether the request was sent and whether it may have
// run, given the error of its dispatch. x.mu must be held.
func (x *execution) recordDispatchError(r *run, err error) {
	var dispatchErr *DispatchError
	if !errors.As(err, &dispatchErr) {
		x.mayHaveRun = true
		x.countDispatch(r)
		return
	}
	x.relay.options.Dispatcher.reportStatements(r.target, dispatchErr.Statements)
	if dispatchErr.Sent {
		x.countDispatch(r)
	} else {
		x.countUnreachable(r)
	}
	if !dispatchErr.NotRun {
		x.mayHaveRun = true
	}
}

// countUnreachable counts a run as one that reached no target. x.mu must be held.
func (x *execution) countUnreachable(r *run) {
	if r.counted {
		x.dispatches--
	}
	r.counted = true
	x.unreachableTargets++
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

// retryDenial applies the route's attempt limit and the retry budget, in which it reserves
// the retry if there is one. A request that may have run is retried only if the route
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
	case !x.reserveRetry():
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
		return x.route.Resumable && x.delivery.status == http.StatusOK && x.delivery.hasEventIDs && !x.versionUnsure
	}
	return x.route.Retryable() || x.route.Resumable
}

// mayRetryErrorResponse reports whether a request that a target responded to with an
// error status is retried on another target, unless a second run is in flight that replaces
// it. It reserves the retry in the budget.
func (x *execution) mayRetryErrorResponse() bool {
	if x.hedge.adoptSecond() {
		return true
	}
	if !x.route.Retryable() || x.dispatches >= x.route.MaxAttempts {
		return false
	}
	return x.reserveRetry()
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
