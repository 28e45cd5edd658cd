package relay

import (
	"context"
	"errors"
	"time"

	"github.com/cornelyard/cornelyard/route"
)

const (
	// firstStall is the part of the objective after which a target that has not
	// begun to answer is given up for a repeatable request.
	firstStall = 2
	// pauseStall does the same for the pauses of a stream.
	pauseStall = 4
	// shortestStall keeps a short objective from doubling the load.
	shortestStall = 300 * time.Millisecond
)

// errStalled is the cause of the end of an exchange with a target that does not go
// on.
var errStalled = errors.New("the target does not go on")

// watchdog ends an exchange that has stalled, if the request may go on at another
// target. The zero value watches nothing.
type watchdog struct {
	timer *time.Timer
	pause time.Duration
}

// watch returns a watchdog that cancels the exchange when the target is silent.
func (x *execution) watch(cancel context.CancelCauseFunc) watchdog {
	if !x.repeatable() || x.dispatches+1 >= x.route.MaxAttempts {
		return watchdog{}
	}
	stalled := func() { cancel(errStalled) }
	return watchdog{
		timer: time.AfterFunc(stallTime(firstStall, x.route.LatencyObjective), stalled),
		pause: stallTime(pauseStall, x.pauseObjective()),
	}
}

func (x *execution) pauseObjective() time.Duration {
	if x.route.Kind != route.Stream {
		return x.route.LatencyObjective
	}
	return x.route.EventGapObjective
}

func stallTime(factor int, objective time.Duration) time.Duration {
	return max(time.Duration(factor)*objective, shortestStall)
}

// progress notes a sign of life.
func (w *watchdog) progress() {
	if w.timer != nil {
		w.timer.Reset(w.pause)
	}
}

func (w *watchdog) stop() {
	if w.timer != nil {
		w.timer.Stop()
	}
}
