package relay

import (
	"context"
	"time"

	"github.com/cornelyard/cornelyard/ident"
	"github.com/cornelyard/cornelyard/route"
	"github.com/cornelyard/cornelyard/schedule"
	"github.com/cornelyard/cornelyard/target"
	"github.com/cornelyard/cornelyard/trial"
)

// run is one dispatch of a request to a target, from the assignment of a slot to the end
// of the exchange.
type run struct {
	// slot identifies the slot to the scheduler.
	slot   ident.Request
	target route.Target
	// versionUnsure is set if the target may run another version than its entry says.
	versionUnsure bool
	inputs        schedule.Inputs
	started       time.Time
	// ctx is cancelled by cancel, or when the request's context is done.
	ctx    context.Context
	cancel context.CancelCauseFunc
	// head receives the result of sending the request.
	head chan headResult
	// counted is set once the run counts as a dispatch of the request, or as an
	// unreachable target.
	counted bool
	// trial is set if the run is a trial of content that may crash targets.
	trial *trial.Run
	// witness observes other targets during a trial.
	witness *trial.Witness
	// responded is set once the head of the response has arrived.
	responded bool
}

// headResult is a target's response whose head has arrived, or a *DispatchError.
type headResult struct {
	response *Response
	err      error
}

// newRun returns a run with the slot that the scheduler assigned.
func newRun(ctx context.Context, a *schedule.Dispatch) *run {
	r := &run{slot: a.Request, target: a.Target, versionUnsure: a.VersionUnsure, inputs: a.Inputs, started: time.Now(), head: make(chan headResult, 1)}
	r.ctx, r.cancel = context.WithCancelCause(ctx)
	return r
}

// dispatch returns what is sent to the run's target.
func (x *execution) dispatch(r *run) Dispatch {
	return Dispatch{
		Call:        x.call,
		Target:      r.target,
		Team:        x.teamName(),
		Timeout:     x.timeLeft(),
		ResumeAfter: x.resumeAfter(),
		Resumes:     x.resumes(),
		Latch:       new(target.SendLatch),
		continues:   x.delivery.headWritten,
	}
}

// send sends the request and delivers the result to r.head.
func (x *execution) send(r *run, d Dispatch) {
	response, err := x.relay.options.TargetClient.Send(r.ctx, d)
	if failure := checkContinuation(d, response); failure != nil {
		_ = response.Body.Close()
		response, err = nil, failure
	}
	r.head <- headResult{response, err}
}

// checkContinuation returns a *DispatchError if the response can't go on with the stream that an
// earlier one began. A nil response stands for none.
func checkContinuation(d Dispatch, response *Response) error {
	if !d.continues || response == nil {
		return nil
	}
	if err := target.CheckContinuation(response.Status, response.Stream); err != nil {
		return &DispatchError{Result: resultForStatus(response.Status), Sent: true, Statements: response.Statements, Err: err}
	}
	return nil
}

// discard cancels a run whose result is not needed, and frees its slot.
func (x *execution) discard(r *run) {
	r.cancel(nil)
	if result := <-r.head; result.response != nil {
		_ = result.response.Body.Close()
	}
	x.relay.options.Dispatcher.finish(r.slot, schedule.Abandoned)
}
