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
	"github.com/cornelyard/cornelyard/target"
	"github.com/cornelyard/cornelyard/timeline"
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
	d.progress = startProgress(d.x.call, d.grant, d.recordFirstToken)
	err := d.exchange()
	tokens, prefill := d.progress.finish()
	if err == nil {
		d.endGrant(outcome.Completed, "", tokens, prefill, false)
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

// maxBufferedBodyBytes is the size up to which a response that is not streamed is
// read completely before it is forwarded, so that a truncated response can be
// reported as an error.
const maxBufferedBodyBytes = 64 << 10

func isBufferable(response *target.Response) bool {
	return !response.Stream && response.Length >= 0 && response.Length <= maxBufferedBodyBytes
}

func (d *dispatch) relayBuffered(response *target.Response) error {
	var body []byte
	collect := func(c target.Chunk) error {
		body = append(body, c.Bytes...)
		return nil
	}
	if err := d.relay(response, collect); err != nil {
		return err
	}
	d.sendHead(response, true)
	return d.forward(target.Chunk{Bytes: body})
}

func (d *dispatch) sendHead(response *target.Response, verified bool) {
	if d.x.recorder != nil {
		d.x.recorder.setHead(response.Status, response.Header)
	}
	d.x.response.setHead(&responseHead{
		status:   response.Status,
		header:   response.Header,
		stream:   response.Stream,
		length:   response.Length,
		verified: verified,
	})
}

// relay calls handle for each chunk until the response is complete.
func (d *dispatch) relay(response *target.Response, handle func(target.Chunk) error) error {
	for {
		chunk, err := response.Next()
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return err
		}
		if chunk.Usage != nil {
			d.usage = chunk.Usage
		}
		d.progress.addTokens(chunk.Tokens)
		if err := handle(chunk); err != nil {
			return err
		}
	}
}

func (d *dispatch) forward(chunk target.Chunk) error {
	if d.x.recorder != nil {
		d.x.recorder.add(chunk.Bytes)
	}
	return d.x.response.write(d.ctx, chunk.Bytes)
}

func (d *dispatch) endGrant(result outcome.Outcome, reason outcome.Reason, tokens int, prefill time.Duration, crashed bool) {
	e := admission.End{
		ID:            d.x.call.id,
		Outcome:       result,
		Reason:        reason,
		PromptTokens:  d.x.call.promptTokens,
		Tokens:        tokens,
		Prefill:       prefill,
		Total:         time.Since(d.startedAt),
		TargetCrashed: crashed,
	}
	if d.usage != nil {
		e.PromptTokens = d.usage.PromptTokens
		e.CachedTokens = d.usage.Cached()
		e.Tokens = max(tokens, d.usage.CompletionTokens)
	}
	d.grant.End(e)
}
