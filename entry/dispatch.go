package entry

import (
	"context"
	"time"

	"github.com/google/uuid"

	"github.com/cornelyard/cornelyard/admission"
	"github.com/cornelyard/cornelyard/ident"
	"github.com/cornelyard/cornelyard/outcome"
	"github.com/cornelyard/cornelyard/pool"
	"github.com/cornelyard/cornelyard/target"
	"github.com/cornelyard/cornelyard/timeline"
	"github.com/cornelyard/cornelyard/trial"
)

// dispatch sends a call to the target of one grant. Each grant is dispatched at
// most once.
type dispatch struct {
	x      *execution
	grant  pool.Grant
	call   target.Call
	ctx    context.Context
	cancel context.CancelCauseFunc

	progress *progress
	usage    *target.Usage
	// responseStarted is true once the head of the target's response has arrived.
	responseStarted bool
	startedAt       time.Time
}

func (x *execution) dispatch(grant pool.Grant) grantResult {
	latch := x.newLatch()
	if latch == nil {
		grant.Decline(admission.DeclineCancelled)
		return failedResult(x.stoppedBeforeRun())
	}
	ctx, cancel := context.WithCancelCause(x.ctx)
	defer cancel(nil)
	d := &dispatch{x: x, grant: grant, ctx: ctx, cancel: cancel}
	d.call = d.targetCall(latch)
	go d.watchPreemption()
	return d.run()
}

func (d *dispatch) targetCall(latch *target.SendLatch) target.Call {
	c := d.x.call
	return target.Call{
		Target:        d.grant.Target(),
		Kind:          c.kind,
		Request:       c.id,
		Dispatch:      ident.Dispatch(uuid.NewString()),
		Method:        c.method,
		Path:          c.path,
		Query:         c.query,
		Header:        c.header,
		Body:          c.body,
		Stream:        c.stream,
		NonIdempotent: c.nonIdempotent,
		Latch:         latch,
		NotAfter:      d.grant.Expires(),
		OnSend:        d.recordDispatched,
	}
}

// recordDispatched is called immediately before the first byte is written.
func (d *dispatch) recordDispatched() {
	d.x.record(timeline.Event{
		Kind:     timeline.Dispatched,
		Dispatch: d.call.Dispatch,
		Target:   d.call.Target.Name,
	})
}

// watchPreemption cancels the dispatch when the pool owner preempts it.
func (d *dispatch) watchPreemption() {
	select {
	case r := <-d.grant.Preempted():
		d.cancel(preemptionStop(r))
	case <-d.ctx.Done():
	}
}

func preemptionStop(r *outcome.Refusal) *stopError {
	if r == nil {
		return &stopError{outcome.Preempted, "stopped in favour of a higher tier", failedRetryAfter}
	}
	return &stopError{r.Reason, r.Message, r.RetryAfter}
}

func (d *dispatch) run() grantResult {
	d.startedAt = time.Now()
	d.x.observeTrial(d.ctx, d.grant)
	d.progress = startProgress(d.x.call, d.grant, d.recordFirstToken)
	err := d.exchange()
	tokens, prefill := d.progress.finish()
	if err == nil {
		d.x.endTrial(trial.Survived)
		d.x.recordFinished(nil)
		d.grant.End(d.newEnd(outcome.Completed, "", tokens, prefill))
		return completedResult()
	}
	return d.handleFailure(err, tokens, prefill)
}

func (d *dispatch) recordFirstToken() {
	d.x.record(timeline.Event{
		Kind:     timeline.FirstToken,
		Dispatch: d.call.Dispatch,
		Target:   d.call.Target.Name,
	})
	d.x.entry.metrics.recordFirstToken(d.x.call, time.Since(d.x.call.arrived))
}

// exchange sends the call and forwards the complete response.
func (d *dispatch) exchange() error {
	response, err := d.x.entry.options.Targets.Do(d.ctx, d.call)
	if err != nil {
		return err
	}
	defer response.Close()
	d.responseStarted = true
	if isBufferable(response) {
		return d.relayBuffered(response)
	}
	d.sendHead(response, response.Buffered)
	return d.relay(response, d.forward)
}

func (d *dispatch) newEnd(result outcome.Outcome, reason outcome.Reason, tokens int, prefill time.Duration) admission.End {
	e := admission.End{
		ID:           d.x.call.id,
		Outcome:      result,
		Reason:       reason,
		PromptTokens: d.x.call.promptTokens,
		Tokens:       tokens,
		Prefill:      prefill,
		Total:        time.Since(d.startedAt),
	}
	if d.usage != nil {
		e.PromptTokens = d.usage.PromptTokens
		e.CachedTokens = d.usage.Cached()
		e.Tokens = max(tokens, d.usage.CompletionTokens)
	}
	return e
}
