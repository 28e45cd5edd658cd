package relay

import (
	"context"
	"errors"
	"time"

	"github.com/cornelyard/cornelyard/ident"
	"github.com/cornelyard/cornelyard/route"
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

// errCutOff is the cancellation cause of a run whose target is no longer reached.
var errCutOff = errors.New("no target is reached any more")

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
	return x.retryable() && used < x.route.MaxAttempts && r.trial == nil
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
