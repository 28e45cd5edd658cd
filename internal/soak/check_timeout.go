package soak

import (
	"fmt"
	"time"

	"github.com/cornelyard/cornelyard/internal/verdict"
)

const (
	// timeoutSlack is by how much the time that a target is given may exceed the time that is
	// left for the caller. It also is how long after the first arrival a later one is judged.
	timeoutSlack = 500 * time.Millisecond
	// Of the later arrivals, which may have been held up on their way, maxLateTimeouts may
	// exceed it, or one in lateTimeoutShare.
	maxLateTimeouts  = 20
	lateTimeoutShare = 5
)

// checkForwardedTimeouts checks that targets are given no more time than is left, in calls
// to hosts that had no fault during the call.
func (r *runner) checkForwardedTimeouts() verdict.Verdict {
	v := verdict.Verdict{Promise: TimeoutWithinCallers}
	arrivals := r.system.arrivals()
	late, exceeding := 0, []string(nil)
	for _, c := range r.callers.calls {
		if c.host.faultSpans.overlaps(c.started.Add(-propagationTime), c.finished) {
			continue
		}
		reached := arrivals[c.request.ID]
		for _, a := range reached {
			v.Check(timeoutIsWithinCallers(c, a), func() string { return describeArrival(c, reached[0], a) })
			if !isLaterArrival(reached[0], a) {
				continue
			}
			late++
			if endsTooLate(c, reached[0], a) {
				exceeding = append(exceeding, describeArrival(c, reached[0], a))
			}
		}
	}
	v.Check(len(exceeding) <= max(maxLateTimeouts, late/lateTimeoutShare), func() string {
		return fmt.Sprintf("%d of %d later arrivals had too much time, such as %s", len(exceeding), late, exceeding[0])
	})
	return v
}

// timeoutIsWithinCallers reports whether the target was given a time no longer than the caller's.
func timeoutIsWithinCallers(c *call, a arrival) bool {
	return a.Timeout > 0 && a.Timeout <= c.request.Deadline+timeoutSlack
}

// isLaterArrival reports whether an arrival is so long after the first that it must have been
// given less time. Arrivals over a connection with a recent fault are left out.
func isLaterArrival(first, a arrival) bool {
	return a.At.Sub(first.At) > timeoutSlack && !a.target.faultSpans.overlaps(a.At.Add(-propagationTime), a.At)
}

// endsTooLate reports whether the time that a target was given ends after that of the first
// arrival and the caller's.
func endsTooLate(c *call, first, a arrival) bool {
	end := c.started.Add(c.request.Deadline)
	if firstEnd := first.At.Add(first.Timeout); firstEnd.After(end) {
		end = firstEnd
	}
	return a.At.Add(a.Timeout).After(end.Add(timeoutSlack))
}

func describeArrival(c *call, first, a arrival) string {
	return fmt.Sprintf("%s reached %s at %s with a timeout of %v, first at %s with %v", c, a.target.name,
		a.At.Format("15:04:05.000"), a.Timeout, first.At.Format("15:04:05.000"), first.Timeout)
}
