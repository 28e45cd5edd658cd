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

// attempt sends the request to one target and passes its answer on. It says
// whether another target is to be tried.
func (x *execution) attempt(ctx context.Context, to route.Target) (again bool, refusal *outcome.Refusal) {
	x.target = to.Name
	begun := time.Now()
	err := x.watchedExchange(ctx, to)
	x.result = resultOf(ctx, err)
	x.step(Step{Kind: StepAttempt, Target: to.Name, Result: x.result, Took: time.Since(begun), Cause: causeOf(err)})
	x.relay.options.Dispatcher.end(x.id, x.result)
	if err == nil || errors.Is(err, errTargetFailed) {
		return false, nil
	}
	if ctx.Err() != nil {
		return false, x.stopped(ctx)
	}
	return x.afterFailure(to, err)
}

// resultOf returns what the end of an exchange says of the target.
func resultOf(ctx context.Context, err error) schedule.Result {
	var failure *Failure
	switch {
	case ctx.Err() != nil:
		return schedule.Abandoned
	case err == nil:
		return schedule.Served
	case errors.Is(err, errSinkFailed):
		return schedule.Abandoned
	case errors.Is(err, errTargetFailed), errors.Is(err, errRepeatable):
		return schedule.Failed
	case errors.As(err, &failure):
		return failure.Result
	default:
		return schedule.Broken
	}
}

// watchedExchange is an exchange that ends when the target stalls.
func (x *execution) watchedExchange(ctx context.Context, to route.Target) error {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	x.watchdog = x.watch(cancel)
	defer x.watchdog.stop()
	err := x.exchange(ctx, to)
	if err != nil && errors.Is(context.Cause(ctx), errStalled) {
		return broken(errStalled)
	}
	return err
}

// exchange sends the request and passes the answer on.
func (x *execution) exchange(ctx context.Context, to route.Target) error {
	latch := new(target.Latch)
	x.countDispatch()
	answer, err := x.relay.options.Exchanger.Send(ctx, Dispatch{
		Call:        x.call,
		Target:      to,
		Team:        x.teamName(),
		Left:        time.Until(x.deadline),
		ResumeAfter: x.resumeAfter(),
		Resumes:     x.resumes(),
		Latch:       latch,
	})
	if err != nil {
		x.noteFailure(err)
		return err
	}
	x.mayHaveRun = true
	x.dispatches++
	x.watchdog.progress()
	defer func() { _ = answer.Body.Close() }()
	if answer.Load >= 0 {
		x.relay.options.Dispatcher.reported(x.id, answer.Load)
	}
	return x.pass(answer)
}

// countDispatch counts the first dispatch of a request in the retry budget; later
// ones were taken from it.
func (x *execution) countDispatch() {
	if x.dispatches == 0 && x.unreachable == 0 {
		x.relay.options.Retries.RecordRequest(time.Now(), x.pool)
	}
}

// noteFailure records what a failed dispatch says of the request.
func (x *execution) noteFailure(err error) {
	var failure *Failure
	if !errors.As(err, &failure) {
		x.mayHaveRun = true
		x.dispatches++
		return
	}
	if failure.Sent {
		x.dispatches++
	} else {
		x.unreachable++
	}
	if !failure.NotRun {
		x.mayHaveRun = true
	}
}

// afterFailure decides whether a failed request is sent to another target.
func (x *execution) afterFailure(to route.Target, err error) (again bool, refusal *outcome.Refusal) {
	x.avoidTarget(to.Name)
	if errors.Is(err, errRepeatable) || x.mayTryAgain(err) {
		x.step(Step{Kind: x.nextKind()})
		return true, nil
	}
	if x.mayHaveRun {
		return false, interrupted(outcome.TargetFailed, "the target failed after the request had been sent")
	}
	return false, outcome.Refuse(outcome.NoTarget, "the targets that were tried refused the request", rejectedRetry)
}

// mayTryAgain applies the route's limit and the retry budget. A request that may
// have run is repeated only if the route allows that.
func (x *execution) mayTryAgain(err error) bool {
	if errors.Is(err, errSinkFailed) {
		return false
	}
	if x.mayHaveRun && !x.repeatable() {
		return false
	}
	if x.dispatches >= x.route.MaxAttempts || x.unreachable >= maxUnreachable {
		return false
	}
	var failure *Failure
	if errors.As(err, &failure) && !failure.Sent {
		return true
	}
	return x.relay.options.Retries.AllowRetry(time.Now(), x.pool)
}

// repeatable says whether a second run is allowed from where the answer stands.
func (x *execution) repeatable() bool {
	if x.relayed.begun {
		return x.route.Resumable && x.relayed.numbered
	}
	return x.route.Retryable() || x.route.Resumable
}

// mayRepeatError says whether a request that a target answered with an error is
// sent to another one, and takes that from the retry budget.
func (x *execution) mayRepeatError() bool {
	if !x.route.Retryable() || x.dispatches >= x.route.MaxAttempts {
		return false
	}
	return x.relay.options.Retries.AllowRetry(time.Now(), x.pool)
}

// nextKind tells a repeated request from a stream that is asked for its rest.
func (x *execution) nextKind() StepKind {
	if x.relayed.begun {
		return StepResumed
	}
	return StepRepeated
}

func causeOf(err error) string {
	if err == nil {
		return ""
	}
	return err.Error()
}
