package schedule

import (
	"time"

	"github.com/cornelyard/cornelyard/rollout"
)

// runningRequest is a request of this host that was dispatched to a target.
type runningRequest struct {
	// late says that it was dispatched too late to be on time.
	late         bool
	request      *Request
	target       *target
	dispatchedAt time.Time
	// prefill is the number of prompt tokens that the target has yet to process; it is
	// zero once the first event has arrived.
	prefill int
	// prefillAhead is the number of prompt tokens that the target had to process when
	// the request was dispatched, including those of the request.
	prefillAhead int
	// cached is the number of prompt tokens that were predicted to be cached.
	cached int
	kv     int
	// reportedLoad is the number of requests that the target had when it responded, or zero if it did
	// not say so.
	reportedLoad int
	events       int
	// startUnixMs identifies the process that got the request, and machine is the state of its
	// machine over the events.
	startUnixMs int64
	machine     machineSample
	// suspect says that the content was a suspect at the dispatch, and trial that the run
	// is the only one of its content over all hosts.
	suspect bool
	trial   bool
	// awaitsTrial says that the request is not sent before its trial begins, and trialBegan is
	// when that was.
	awaitsTrial bool
	trialBegan  time.Time
	// order is the order of a rollout for which the run is evidence, or zero. outOfTime says
	// that the request's deadline has passed.
	order     rollout.OrderID
	outOfTime bool
	// firstEventAt and lastEventAt are the arrival times of the first and the last
	// event.
	firstEventAt time.Time
	lastEventAt  time.Time
}

// runTime returns how long the request has been running at its target. It returns false if it
// has not been sent.
func (r *runningRequest) runTime(now time.Time) (time.Duration, bool) {
	if r.trial {
		return now.Sub(r.trialBegan), true
	}
	return now.Sub(r.dispatchedAt), !r.awaitsTrial
}
