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
	// answerSlack is how much after its deadline a request may end.
	answerSlack = 700 * time.Millisecond
	// applyTime is how long hosts may take to act on what the store says.
	applyTime = 3 * time.Second
)

// check compares what callers were told with what reached the targets.
func (r *execution) check() *Result {
	runs := r.system.runs()
	result := &Result{Options: r.options, FaultCounts: r.injector.counts, Calls: len(r.callers.calls)}
	for _, c := range r.callers.calls {
		if c.reply.Succeeded() {
			result.Succeeded++
		}
	}
	result.Promises = []verdict.Verdict{
		r.checkAnswers(), r.checkOnce(runs), r.checkRefusals(runs), r.checkTimes(), r.checkQuota(runs),
		r.checkLeaving(), r.checkVersions(), r.checkStops(), r.checkHosts(), r.checkLast(),
	}
	return result
}

// runs returns when each request reached targets that took it.
func (s *system) runs() map[string][]time.Time {
	runs := make(map[string][]time.Time)
	for _, t := range s.targets {
		for _, received := range t.replica.Requests() {
			runs[received.RequestID()] = append(runs[received.RequestID()], received.At)
		}
	}
	return runs
}

func (r *execution) checkAnswers() verdict.Verdict {
	v := verdict.Verdict{Promise: CorrectResponse}
	for _, c := range r.callers.calls {
		switch {
		case c.reply.Succeeded():
			v.Check(c.reply.Signed && c.reply.Body == c.want(), c.String)
		case c.reply.Status == http.StatusOK:
			v.Check(strings.HasPrefix(c.want(), c.reply.Body), c.String)
		}
	}
	return v
}

func (r *execution) checkOnce(runs map[string][]time.Time) verdict.Verdict {
	v := verdict.Verdict{Promise: NonIdempotentAtMostOnce}
	for _, c := range r.callers.calls {
		if c.try.Path == platformtest.PathWrite {
			v.Check(len(runs[c.try.ID]) <= 1, c.String)
		}
	}
	return v
}

func (r *execution) checkRefusals(runs map[string][]time.Time) verdict.Verdict {
	v := verdict.Verdict{Promise: RefusedNotExecuted}
	for _, c := range r.callers.calls {
		if c.reply.Refused() {
			v.Check(len(runs[c.try.ID]) == 0, c.String)
		}
	}
	return v
}

// checkTimes looks at calls to hosts that no fault acted on meanwhile.
func (r *execution) checkTimes() verdict.Verdict {
	v := verdict.Verdict{Promise: ResponseByDeadline}
	for _, c := range r.callers.calls {
		if !c.host.disturbed.overlap(c.begun, c.ended) {
			v.Check(c.ended.Sub(c.begun) <= deadline+answerSlack, c.String)
		}
	}
	return v
}

// checkQuota counts the requests of the team with a quota in each window.
func (r *execution) checkQuota(runs map[string][]time.Time) verdict.Verdict {
	v := verdict.Verdict{Promise: QuotaEnforced}
	var times []time.Time
	for _, c := range r.callers.calls {
		if c.small {
			times = append(times, runs[c.try.ID]...)
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

// checkLeaving looks at what reached targets that had said long before that they are
// leaving, while the store and all hosts were undisturbed.
func (r *execution) checkLeaving() verdict.Verdict {
	v := verdict.Verdict{Promise: NoRequestToLeavingTarget}
	for _, t := range r.system.targets {
		for _, away := range t.departures {
			from := away[0].Add(applyTime)
			if !r.undisturbed(away[0], away[1]) {
				continue
			}
			for _, received := range t.replica.Requests() {
				if received.At.After(away[0]) && received.At.Before(away[1]) {
					v.Check(received.At.Before(from), func() string {
						return fmt.Sprintf("%s reached %s at %s, which left at %s", received.RequestID(), t.name,
							received.At.Format("15:04:05.000"), away[0].Format("15:04:05.000"))
					})
				}
			}
		}
	}
	return v
}

// undisturbed says whether neither the store nor any host had a fault in that time.
func (r *execution) undisturbed(from, to time.Time) bool {
	if r.system.storeFaults.overlap(from, to) {
		return false
	}
	for _, h := range r.system.hosts {
		if h.disturbed.overlap(from, to) {
			return false
		}
	}
	return true
}
