package soak

import (
	"fmt"
	"time"

	"github.com/cornelyard/cornelyard/internal/verdict"
)

// timeoutSlack is by how much the time that a target is given may exceed the time that is
// left for the caller. It also is how long after the first arrival a later one is judged.
const timeoutSlack = 500 * time.Millisecond

// checkForwardedTimeouts checks that targets are given no more time than is left, in calls
// to hosts that had no fault during the call.
func (r *runner) checkForwardedTimeouts() verdict.Verdict {
	v := verdict.Verdict{Promise: TimeoutWithinCallers}
	arrivals := r.system.arrivals()
	for _, c := range r.callers.calls {
		if c.host.faultSpans.overlaps(c.started.Add(-propagationTime), c.finished) {
			continue
		}
		reached := arrivals[c.request.ID]
		for _, a := range reached {
			v.Check(timeoutHolds(c, reached[0], a), func() string {
				return fmt.Sprintf("%s reached %s at %s with a timeout of %v, first at %s with %v", c, a.target.name,
					a.At.Format("15:04:05.000"), a.Timeout, reached[0].At.Format("15:04:05.000"), reached[0].Timeout)
			})
		}
	}
	return v
}

// timeoutHolds reports whether an arrival of a call gives the target no more time than is left. An
// arrival that the connection to the target may have held up is compared only by its length.
func timeoutHolds(c *call, first, a arrival) bool {
	if a.Timeout <= 0 || a.Timeout > c.request.Deadline+timeoutSlack {
		return false
	}
	if a.At.Sub(first.At) <= timeoutSlack || a.target.faultSpans.overlaps(a.At.Add(-propagationTime), a.At) {
		return true
	}
	end := c.started.Add(c.request.Deadline)
	if firstEnd := first.At.Add(first.Timeout); firstEnd.After(end) {
		end = firstEnd
	}
	return !a.At.Add(a.Timeout).After(end.Add(timeoutSlack))
}
