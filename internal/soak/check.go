package soak

import (
	"fmt"
	"net/http"
	"strings"
	"time"

	"github.com/cornelyard/cornelyard/internal/verdict"
	"github.com/cornelyard/cornelyard/platform/platformtest"
)

const (
	// deadlineSlack is how long after its deadline a request may finish.
	deadlineSlack = 700 * time.Millisecond
	// propagationTime is how long hosts may take to apply a change in the store.
	propagationTime = 3 * time.Second
)

// check compares the replies to callers with the requests that reached the targets.
func (r *runner) check() *Result {
	received := r.system.receivedTimes()
	result := &Result{Options: r.options, FaultCounts: r.injector.counts, Calls: len(r.callers.calls)}
	for _, c := range r.callers.calls {
		if c.reply.Succeeded() {
			result.Succeeded++
		}
	}
	result.Promises = []verdict.Verdict{
		r.checkResponses(), r.checkNonIdempotent(received), r.checkRefusals(received), r.checkDeadlines(), r.checkQuota(received),
		r.checkLeavingTargets(), r.checkConfigurationVersions(), r.checkGracefulShutdown(), r.checkHostExits(), r.checkRecovery(),
		r.checkCrashingRequests(), r.checkAnswered(), r.checkAttempts(), r.checkForwardedTimeouts(), r.checkRetryBudget(),
	}
	result.Promises = append(result.Promises, r.checkStreamVersions(), r.checkTakenUpStreams())
	if r.upgrade != nil {
		result.Promises = append(result.Promises, r.upgrade.checkRevokedKey(r.callers.calls, received), r.upgrade.checkRollout())
	}
	return result
}

// receivedTimes returns, by request ID, the times at which targets received it.
func (s *system) receivedTimes() map[string][]time.Time {
	received := make(map[string][]time.Time)
	for _, t := range s.targets {
		for _, request := range t.fake.Requests() {
			received[request.RequestID()] = append(received[request.RequestID()], request.At)
		}
	}
	return received
}

func (r *runner) checkResponses() verdict.Verdict {
	v := verdict.Verdict{Promise: CorrectResponse}
	for _, c := range r.callers.calls {
		switch {
		case c.reply.Succeeded():
			v.Check(c.reply.Signed && withoutVersions(c.reply.Body) == c.expectedBody(), c.String)
		case c.reply.Status == http.StatusOK:
			v.Check(strings.HasPrefix(c.expectedBody(), withoutVersions(c.reply.Body)), c.String)
		}
	}
	return v
}

func (r *runner) checkNonIdempotent(received map[string][]time.Time) verdict.Verdict {
	v := verdict.Verdict{Promise: NonIdempotentAtMostOnce}
	for _, c := range r.callers.calls {
		if c.request.Path == platformtest.PathWrite {
			v.Check(len(received[c.request.ID]) <= 1, c.String)
		}
	}
	return v
}

func (r *runner) checkRefusals(received map[string][]time.Time) verdict.Verdict {
	v := verdict.Verdict{Promise: RefusedNotExecuted}
	for _, c := range r.callers.calls {
		if c.reply.Refused() {
			v.Check(len(received[c.request.ID]) == 0, c.String)
		}
	}
	return v
}

// checkDeadlines checks the calls to hosts that had no fault during the call.
func (r *runner) checkDeadlines() verdict.Verdict {
	v := verdict.Verdict{Promise: ResponseByDeadline}
	for _, c := range r.callers.calls {
		if !c.host.faultSpans.overlaps(c.started, c.finished) {
			v.Check(c.finished.Sub(c.started) <= deadline+deadlineSlack, c.String)
		}
	}
	return v
}

// checkQuota checks the requests of the team with a quota in each sliding window.
func (r *runner) checkQuota(received map[string][]time.Time) verdict.Verdict {
	v := verdict.Verdict{Promise: QuotaEnforced}
	var times []time.Time
	for _, c := range r.callers.calls {
		if c.limited {
			times = append(times, received[c.request.ID]...)
		}
	}
	sortTimes(times)
	bound := (platformtest.LimitedPerSecond*quotaWindow.Seconds()+platformtest.LimitedBurst)*(1+quotaOverage) + quotaAllowance
	first := 0
	for i, at := range times {
		for at.Sub(times[first]) > quotaWindow {
			first++
		}
		v.Check(float64(i-first+1) <= bound, func() string {
			return fmt.Sprintf("%d requests in the window that ends at %s, more than %.0f", i-first+1, at.Format("15:04:05.000"), bound)
		})
	}
	return v
}

// checkLeavingTargets checks that targets receive no requests later than
// propagationTime after they announced that they are leaving. It skips periods in which
// the store or a host had a fault.
func (r *runner) checkLeavingTargets() verdict.Verdict {
	v := verdict.Verdict{Promise: NoRequestToLeavingTarget}
	for _, t := range r.system.targets {
		for _, period := range t.leavingPeriods {
			from := period[0].Add(propagationTime)
			if !r.noFaultDuring(period[0], period[1]) {
				continue
			}
			v.Check(true, nil)
			for _, received := range t.fake.Requests() {
				if received.At.After(period[0]) && received.At.Before(period[1]) {
					v.Check(received.At.Before(from), func() string {
						return fmt.Sprintf("%s reached %s at %s, which left at %s", received.RequestID(), t.name,
							received.At.Format("15:04:05.000"), period[0].Format("15:04:05.000"))
					})
				}
			}
		}
	}
	return v
}

// noFaultDuring reports whether neither the store nor any host had a fault in the period.
func (r *runner) noFaultDuring(from, to time.Time) bool {
	if r.system.storeFaults.overlaps(from, to) {
		return false
	}
	for _, h := range r.system.hosts {
		if h.faultSpans.overlaps(from, to) {
			return false
		}
	}
	return true
}
