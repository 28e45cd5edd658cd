package relay

import (
	"context"
	"time"

	"github.com/cornelyard/cornelyard/ident"
	"github.com/cornelyard/cornelyard/schedule"
)

// startSecond tries to replace the stalled run by a second one. It runs on a goroutine of
// the timer.
func (h *hedge) startSecond() {
	defer h.rearm()
	if h.giveUpFirst() {
		return
	}
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

// giveUpFirst cancels the first run if another host may serve the request, because this one
// reaches no target any more. The request goes on as after a failed exchange.
func (h *hedge) giveUpFirst() bool {
	h.x.mu.Lock()
	defer h.x.mu.Unlock()
	if h.ended || h.paused || h.successor != nil || !h.x.mayHedge(h.first) || !h.x.mayPassOn() {
		return false
	}
	if !h.x.relay.options.Dispatcher.passesOn(time.Now(), h.x.pool) {
		return false
	}
	h.first.cancel(errCutOff)
	return true
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
	if len(h.x.relay.options.Dispatcher.suspectsIn(time.Now(), h.x.content)) > 0 {
		h.recordDenial(DeniedSuspect, schedule.Inputs{})
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
	// A target on probation would be no certain replacement.
	r.Retryable = false
	r.MayPassOn = false
	r.Repeat = true
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
