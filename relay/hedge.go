package relay

import (
	"context"
	"errors"
	"time"

	"github.com/cornelyard/cornelyard/ident"
	"github.com/cornelyard/cornelyard/route"
	"github.com/cornelyard/cornelyard/schedule"
)

const (
	// firstEventFactor is the multiple of the route's latency objective after which a run
	// whose target has not begun to respond counts as stalled.
	firstEventFactor = 2
	// eventGapFactor is the corresponding multiple of the event gap objective, for the
	// gaps between the events of a stream.
	eventGapFactor = 4
	// minStallTimeout is the shortest stall timeout. Without it, a very short objective
	// could double the load by hedging runs that are merely slow.
	minStallTimeout = 300 * time.Millisecond
)

// errStalled is the cancellation cause of a run that was replaced because its target had
// stalled.
var errStalled = errors.New("the target does not go on")

// hedge supervises a run of a request that may run again. When its target stalls, the
// hedge starts a second run on another target, if the attempts, the retry budget and a
// slot allow that. Whichever responds first goes on and the other one is cancelled, so a
// stalled run is not given up before its replacement is certain.
//
// The mutex of the execution guards the fields below first.
type hedge struct {
	x *execution
	// ctx is the context of the request.
	ctx          context.Context
	first        *run
	eventTimeout time.Duration

	timer *time.Timer
	// lastProgress is when the target of the first run last responded. stalledSince is its
	// value when a slot for a second run was asked for.
	lastProgress time.Time
	stalledSince time.Time
	// paused is set while the caller has yet to take events that have arrived.
	paused bool
	// ended is set, and done closed, once the first run has ended.
	ended bool
	done  chan struct{}
	// second is the second run while both are in flight.
	second *run
	// cancelAcquire ends the wait for a slot of a second run.
	cancelAcquire context.CancelFunc
	// successor is the second run once it has replaced the first.
	successor *run
	// lastDenial is why the last second run could not start. Only the goroutine of the timer
	// uses it.
	lastDenial RetryDenial
	// failedTargets holds the targets on which second runs have failed.
	failedTargets []ident.Target
}

// supervise starts the supervision of a run.
func (x *execution) supervise(ctx context.Context, r *run) *hedge {
	h := &hedge{x: x, ctx: ctx, first: r, lastProgress: time.Now(), done: make(chan struct{})}
	if !x.mayHedge(r) {
		return h
	}
	h.eventTimeout = stallTimeout(eventGapFactor, x.eventGapObjective())
	x.mu.Lock()
	defer x.mu.Unlock()
	h.timer = time.AfterFunc(stallTimeout(firstEventFactor, x.route.LatencyObjective), h.startSecond)
	return h
}

// mayHedge reports whether the route allows a second run beside r. x.mu must be held
// while an exchange is in progress.
func (x *execution) mayHedge(r *run) bool {
	used := x.dispatches
	if !r.counted {
		used++
	}
	return x.retryable() && used < x.route.MaxAttempts
}

func (x *execution) eventGapObjective() time.Duration {
	if x.route.Kind != route.Stream {
		return x.route.LatencyObjective
	}
	return x.route.EventGapObjective
}

func stallTimeout(factor int, objective time.Duration) time.Duration {
	return max(time.Duration(factor)*objective, minStallTimeout)
}

// recordProgress records that the target of the first run responded, which makes a second
// run superfluous. It returns errStalled if a second run has replaced the first. x.mu must
// be held.
func (h *hedge) recordProgress() error {
	if err := h.replaced(); err != nil {
		return err
	}
	h.lastProgress = time.Now()
	h.cancelSecond()
	if h.timer != nil {
		h.timer.Reset(h.eventTimeout)
	}
	return nil
}

// replaced returns errStalled if a second run has replaced the first. x.mu must be held.
func (h *hedge) replaced() error {
	if h.successor != nil {
		return errStalled
	}
	return nil
}

// adoptSecond makes a second run that is in flight the successor of the first, which has
// responded with an error. It reports whether the first has a successor.
func (h *hedge) adoptSecond() bool {
	h.x.mu.Lock()
	defer h.x.mu.Unlock()
	if h.successor == nil {
		h.successor, h.second = h.second, nil
	}
	return h.successor != nil
}

// pause suspends the supervision while events are written to the caller.
func (h *hedge) pause() {
	h.x.mu.Lock()
	defer h.x.mu.Unlock()
	h.paused = true
}

// resume goes on with the supervision. The time of the pause is no silence of the target.
func (h *hedge) resume() {
	h.x.mu.Lock()
	defer h.x.mu.Unlock()
	h.paused = false
	h.lastProgress = time.Now()
	if h.timer != nil {
		h.timer.Reset(h.eventTimeout)
	}
}

// end ends the supervision. It returns the run that replaces the first one, or nil. If the
// first run failed, a second one that has been sent replaces it.
func (h *hedge) end(failed bool) *run {
	h.x.mu.Lock()
	defer h.x.mu.Unlock()
	h.ended = true
	close(h.done)
	if h.timer != nil {
		h.timer.Stop()
	}
	if failed && h.second != nil {
		h.successor = h.second
		h.second = nil
	}
	h.cancelSecond()
	if !failed && h.successor != nil {
		go h.x.discard(h.successor)
		return nil
	}
	return h.successor
}

// cancelSecond cancels a second run that has not replaced the first. x.mu must be held.
func (h *hedge) cancelSecond() {
	if h.cancelAcquire != nil {
		h.cancelAcquire()
	}
	if h.second != nil {
		h.x.mayHaveRun = true
		h.second.cancel(nil)
		h.second = nil
	}
}

// startSecond tries to replace the stalled run by a second one. It runs on a goroutine of
// the timer.
func (h *hedge) startSecond() {
	defer h.rearm()
	request, ctx, ok := h.reserveSecond()
	if !ok {
		return
	}
	second := h.acquireSecond(ctx, request)
	if second == nil {
		h.releaseReserved()
		return
	}
	d, ok := h.prepareSecond(second)
	if !ok {
		h.releaseReserved()
		h.x.relay.options.Dispatcher.finish(second.slot, schedule.Abandoned)
		return
	}
	go h.x.send(second, d)
	h.awaitSecond(second)
}

func (h *hedge) releaseReserved() {
	h.x.relay.options.RetryBudget.ReleaseReserved(time.Now(), h.x.pool)
}

// rearm starts the stall timeout again, unless the supervision has ended.
func (h *hedge) rearm() {
	h.x.mu.Lock()
	defer h.x.mu.Unlock()
	if !h.ended && h.successor == nil {
		h.timer.Reset(h.eventTimeout)
	}
}

// reserveSecond reserves a retry for a second run. It returns the scheduler's view of it and
// the context of the wait for its slot, or false if none may start.
func (h *hedge) reserveSecond() (schedule.Request, context.Context, bool) {
	h.x.mu.Lock()
	defer h.x.mu.Unlock()
	if h.ended || h.paused || h.successor != nil || !h.x.mayHedge(h.first) {
		return schedule.Request{}, nil, false
	}
	if !h.x.relay.options.RetryBudget.ReserveRetry(time.Now(), h.x.pool) {
		h.recordDenial(DeniedBudget, schedule.Inputs{})
		return schedule.Request{}, nil, false
	}
	ctx, cancel := context.WithCancel(h.ctx)
	h.cancelAcquire = cancel
	h.stalledSince = h.lastProgress
	return h.secondRequest(), ctx, true
}

// secondRequest returns the scheduler's view of a second run. x.mu must be held.
func (h *hedge) secondRequest() schedule.Request {
	r := h.x.request()
	r.ID = h.x.relay.newID()
	// A target on probation would be no certain replacement.
	r.Retryable = false
	r.ExcludedTargets = append(append([]ident.Target{h.first.target.Name}, h.failedTargets...), h.x.excludedTargets...)
	return r
}

// acquireSecond acquires a slot for a second run. It returns nil if there is none, or if the
// first run goes on.
func (h *hedge) acquireSecond(ctx context.Context, request schedule.Request) *run {
	action, err := h.x.relay.options.Dispatcher.acquire(ctx, request)
	if err != nil {
		return nil
	}
	switch a := action.(type) {
	case *schedule.Dispatch:
		return newRun(h.ctx, a)
	case *schedule.Refuse:
		h.recordDenial(DeniedNoSlot, a.Inputs)
	}
	return nil
}

// recordDenial records why no second run can start, each reason in a row once.
func (h *hedge) recordDenial(reason RetryDenial, inputs schedule.Inputs) {
	if h.lastDenial == reason {
		return
	}
	h.lastDenial = reason
	h.x.recordStep(Step{Kind: StepHedgeDenied, RetryDenial: reason, Inputs: inputs})
}

// prepareSecond makes a run the second one. It returns false if the first run went on
// meanwhile.
func (h *hedge) prepareSecond(second *run) (Dispatch, bool) {
	h.x.mu.Lock()
	defer h.x.mu.Unlock()
	h.cancelAcquire()
	h.cancelAcquire = nil
	if h.ended || h.paused || h.lastProgress != h.stalledSince {
		return Dispatch{}, false
	}
	h.x.relay.options.RetryBudget.DispatchReserved(time.Now(), h.x.pool)
	h.x.recordStep(Step{Kind: StepHedged, Target: second.target.Name, Version: second.target.Version, Inputs: second.inputs})
	h.second = second
	h.x.countDispatch(second)
	return h.x.dispatch(second), true
}

// awaitSecond waits until the second run responds, fails, or is cancelled because the
// first one goes on. One that stalls too makes room for another, if one is allowed.
func (h *hedge) awaitSecond(second *run) {
	stalled := time.NewTimer(stallTimeout(firstEventFactor, h.x.route.LatencyObjective))
	defer stalled.Stop()
	for {
		select {
		case result := <-second.head:
			second.head <- result
			h.settle(second, result)
			return
		case <-h.done:
			h.leave(second)
			return
		case <-stalled.C:
			if h.dropStalled(second) {
				return
			}
		}
	}
}

// dropStalled gives up a second run that has stalled, if another one is allowed. It returns
// false if the second run goes on.
func (h *hedge) dropStalled(second *run) bool {
	h.x.mu.Lock()
	defer h.x.mu.Unlock()
	if h.second != second || !h.x.mayHedge(h.first) {
		return false
	}
	h.failedTargets = append(h.failedTargets, second.target.Name)
	h.cancelSecond()
	go h.x.discard(second)
	return true
}

// leave discards the second run after the end of the first, unless it is the successor.
func (h *hedge) leave(second *run) {
	h.x.mu.Lock()
	defer h.x.mu.Unlock()
	if h.successor != second {
		go h.x.discard(second)
	}
}

// settle decides between the runs after the second one has responded or failed.
func (h *hedge) settle(second *run, result headResult) {
	h.x.mu.Lock()
	defer h.x.mu.Unlock()
	switch {
	case h.successor == second:
		// The execution goes on with it.
	case h.second != second:
		go h.x.discard(second)
	case result.err != nil:
		h.second = nil
		h.recordFailure(second, result.err)
	default:
		h.replaceFirst()
	}
}

// recordFailure records that the second run failed. x.mu must be held.
func (h *hedge) recordFailure(second *run, err error) {
	h.failedTargets = append(h.failedTargets, second.target.Name)
	h.x.recordDispatchError(second, err)
	go h.x.endFailed(second, err)
}

// replaceFirst makes the second run the successor of the first and cancels the first.
// x.mu must be held.
func (h *hedge) replaceFirst() {
	h.successor = h.second
	h.second = nil
	h.first.cancel(errStalled)
}
