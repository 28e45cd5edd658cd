package relay

import (
	"context"
	"errors"
	"time"

	"github.com/cornelyard/cornelyard/route"
)

const (
	// firstEventFactor is the multiple of the route's latency objective after which an
	// exchange whose target has not begun to respond is aborted, if the request is
	// retryable.
	firstEventFactor = 2
	// eventGapFactor is the corresponding multiple of the event gap objective, for the
	// gaps between the events of a stream.
	eventGapFactor = 4
	// minStallTimeout is the shortest stall timeout. Without it, a very short objective
	// could double the load by aborting exchanges that are merely slow.
	minStallTimeout = 300 * time.Millisecond
)

// errStalled is the cancellation cause of an exchange whose target has stalled.
var errStalled = errors.New("the target does not go on")

// watchdog aborts an exchange that has stalled, if the request may be retried on
// another target. The zero value does nothing.
type watchdog struct {
	timer        *time.Timer
	eventTimeout time.Duration
}

// startWatchdog returns a watchdog that cancels the exchange when the target stalls.
func (x *execution) startWatchdog(cancel context.CancelCauseFunc) watchdog {
	if !x.retryable() || x.dispatches+1 >= x.route.MaxAttempts {
		return watchdog{}
	}
	stalled := func() { cancel(errStalled) }
	return watchdog{
		timer:        time.AfterFunc(stallTimeout(firstEventFactor, x.route.LatencyObjective), stalled),
		eventTimeout: stallTimeout(eventGapFactor, x.eventGapObjective()),
	}
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

// reset restarts the timer after the target made progress.
func (w *watchdog) reset() {
	if w.timer != nil {
		w.timer.Reset(w.eventTimeout)
	}
}

func (w *watchdog) stop() {
	if w.timer != nil {
		w.timer.Stop()
	}
}
