package entry

import (
	"context"
	"errors"
	"io"
	"time"

	"github.com/google/uuid"

	"github.com/cornelyard/cornelyard/admission"
	"github.com/cornelyard/cornelyard/ident"
	"github.com/cornelyard/cornelyard/outcome"
	"github.com/cornelyard/cornelyard/pool"
	"github.com/cornelyard/cornelyard/settings"
	"github.com/cornelyard/cornelyard/target"
	"github.com/cornelyard/cornelyard/timeline"
)

// dispatch is the one use of one grant.
type dispatch struct {
	x      *execution
	grant  pool.Grant
	call   target.Call
	ctx    context.Context
	cancel context.CancelCauseFunc

	progress *progress
	usage    *target.Usage
	// answered says that a part of the answer has arrived.
	answered bool
	begun    time.Time
}

func (x *execution) dispatch(grant pool.Grant) verdict {
	latch := x.newLatch()
	if latch == nil {
		grant.Decline(admission.DeclineCancelled)
		return failed(x.stoppedBeforeRun())
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
		OnSend:        d.recordBegin,
	}
}

// recordBegin runs right before the first byte is written.
func (d *dispatch) recordBegin() {
	d.x.record(timeline.Event{
		Kind:     timeline.Dispatched,
		Dispatch: d.call.Dispatch,
		Target:   d.call.Target.Name,
	})
}

// watchPreemption stops the dispatch when the owner wants its slot back.
func (d *dispatch) watchPreemption() {
	select {
	case r := <-d.grant.Preempted():
		d.cancel(preemptionStop(r))
	case <-d.ctx.Done():
	}
}

func preemptionStop(r *outcome.Refusal) *stop {
	if r == nil {
		return &stop{outcome.Preempted, "stopped in favour of a higher tier", failedRetryAfter}
	}
	return &stop{r.Reason, r.Message, r.RetryAfter}
}

func (d *dispatch) run() verdict {
	d.begun = time.Now()
	d.progress = startProgress(d.x.call, d.grant, d.recordFirstToken)
	err := d.exchange()
	tokens, prefill := d.progress.finish()
	if err == nil {
		d.end(outcome.Completed, "", tokens, prefill, false)
		return done()
	}
	return d.conclude(err, tokens, prefill)
}

func (d *dispatch) recordFirstToken() {
	d.x.record(timeline.Event{
		Kind:     timeline.FirstToken,
		Dispatch: d.call.Dispatch,
		Target:   d.call.Target.Name,
	})
	d.x.entry.metrics.firstToken(d.x.call, time.Since(d.x.call.arrived))
}

// exchange dispatches the call and passes the whole answer on.
func (d *dispatch) exchange() error {
	answer, err := d.x.entry.options.Targets.Do(d.ctx, d.call)
	if err != nil {
		return err
	}
	defer answer.Close()
	d.answered = true
	if fitsWhole(answer) {
		return d.relayWhole(answer)
	}
	d.begin(answer, answer.Buffered)
	return d.relay(answer, d.pass)
}

// wholeBytes is the size up to which a plain service's answer is read whole
// before it is passed on, so that a cut can be told as an error.
const wholeBytes = 64 << 10

func fitsWhole(answer *target.Response) bool {
	return !answer.Stream && answer.Length >= 0 && answer.Length <= wholeBytes
}

func (d *dispatch) relayWhole(answer *target.Response) error {
	var body []byte
	collect := func(c target.Chunk) error {
		body = append(body, c.Bytes...)
		return nil
	}
	if err := d.relay(answer, collect); err != nil {
		return err
	}
	d.begin(answer, true)
	return d.pass(target.Chunk{Bytes: body})
}

func (d *dispatch) begin(answer *target.Response, verified bool) {
	if d.x.kept != nil {
		d.x.kept.begin(answer.Status, answer.Header)
	}
	d.x.reply.begin(&replyHead{
		status:   answer.Status,
		header:   answer.Header,
		stream:   answer.Stream,
		length:   answer.Length,
		verified: verified,
	})
}

// relay hands each chunk on until the answer is whole.
func (d *dispatch) relay(answer *target.Response, forward func(target.Chunk) error) error {
	for {
		chunk, err := answer.Next()
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return err
		}
		if chunk.Usage != nil {
			d.usage = chunk.Usage
		}
		d.progress.add(chunk.Tokens)
		if err := forward(chunk); err != nil {
			return err
		}
	}
}

func (d *dispatch) pass(chunk target.Chunk) error {
	if d.x.kept != nil {
		d.x.kept.add(chunk.Bytes)
	}
	return d.x.reply.put(d.ctx, chunk.Bytes)
}

// conclude turns a failed exchange into the outcome that the latch allows.
func (d *dispatch) conclude(err error, tokens int, prefill time.Duration) verdict {
	if d.call.Latch.Cancel() {
		return d.unsent(err)
	}
	var failure *target.Failure
	errors.As(err, &failure)
	if failure != nil && failure.Kind == target.FailedLeaving {
		return d.refusedByTarget()
	}
	refusal := d.interruption(err, failure)
	died := refusal.Reason == outcome.TargetFailed && failure != nil && failure.Kind == target.FailedConnection
	d.end(refusal.Outcome, refusal.Reason, tokens, prefill, died)
	d.cancelRun()
	return failed(refusal)
}

// unsent gives back a grant of which no byte was spent.
func (d *dispatch) unsent(err error) verdict {
	if d.ctx.Err() != nil {
		d.grant.Decline(admission.DeclineCancelled)
		cause := stopCause(d.ctx)
		return failed(d.x.notRun(cause.reason, cause.message, cause.retryAfter))
	}
	var failure *target.Failure
	if errors.As(err, &failure) && failure.Kind == target.FailedExpired {
		d.grant.Decline(admission.DeclineExpired)
		return tryAgain()
	}
	d.grant.Decline(admission.DeclineDial)
	d.x.avoidTarget(d.call.Target.Name)
	if refusal := d.x.pause(); refusal != nil {
		return failed(refusal)
	}
	return tryAgain()
}

// refusedByTarget relies on the target's promise that it ran nothing.
func (d *dispatch) refusedByTarget() verdict {
	d.grant.Decline(admission.DeclineLeaving)
	d.x.avoidTarget(d.call.Target.Name)
	return tryAgain()
}

// interruption is the honest end of a call of which bytes were sent.
func (d *dispatch) interruption(err error, failure *target.Failure) *refusal {
	r := &outcome.Refusal{Outcome: outcome.Unknown}
	if d.started(failure) {
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
	return refused(r)
}

// started reports whether the call is known to have started and not ended: a
// part of the answer was seen, or an engine was told to stop. What a plain
// service does after it was cut off is not known.
func (d *dispatch) started(failure *target.Failure) bool {
	if d.answered || (failure != nil && failure.Kind == target.FailedStatus) {
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

// cancelRun tells an engine that would go on for a resume to stop.
func (d *dispatch) cancelRun() {
	ctx := context.WithoutCancel(d.ctx)
	go d.x.entry.options.Targets.Cancel(ctx, d.call)
}

func (d *dispatch) end(result outcome.Outcome, reason outcome.Reason, tokens int, prefill time.Duration, died bool) {
	e := admission.End{
		ID:            d.x.call.id,
		Outcome:       result,
		Reason:        reason,
		PromptTokens:  d.x.call.promptTokens,
		Tokens:        tokens,
		Prefill:       prefill,
		Total:         time.Since(d.begun),
		TargetCrashed: died,
	}
	if d.usage != nil {
		e.PromptTokens = d.usage.PromptTokens
		e.CachedTokens = d.usage.Cached()
		e.Tokens = max(tokens, d.usage.CompletionTokens)
	}
	d.grant.End(e)
}
