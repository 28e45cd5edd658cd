package admission

import (
	"time"

	"github.com/cornelyard/cornelyard/ident"
	"github.com/cornelyard/cornelyard/outcome"
	"github.com/cornelyard/cornelyard/usage"
)

// forwardOrRefuse forwards a queued request to the data centres that would
// accept it, or refuses it if there are none.
func (s *Scheduler) forwardOrRefuse(now time.Time, q *queuedRequest, details refusalDetails) Action {
	run := secondsToDuration(s.expectedSeconds(now, q.request.PromptTokens, q.work.Length.Median))
	return s.forwardOrRefuseWithRun(now, q, details, run)
}

// forwardOrRefuseInfeasible handles a request that even an idle target of this
// pool is too slow for. The speed of other data centres is not known here, so
// its run there is assumed to take no time.
func (s *Scheduler) forwardOrRefuseInfeasible(now time.Time, q *queuedRequest) {
	s.pendingActions = append(s.pendingActions, s.forwardOrRefuseWithRun(now, q, refusalDetails{
		reason:  outcome.Infeasible,
		message: "the deadline is too short for this request",
	}, 0))
}

// forwardOrRefuseWithRun forwards a request whose run elsewhere is expected to
// take run, or refuses it. A request that was forwarded to this data centre is
// not forwarded again.
func (s *Scheduler) forwardOrRefuseWithRun(now time.Time, q *queuedRequest, details refusalDetails, run time.Duration) Action {
	q.team.tier.demand.add(now, -q.cost)
	var candidates []ident.DataCentre
	if !q.request.Forwarded {
		candidates = s.peerHints.candidates(now, q.rank(), run, q.deadline)
	}
	if len(candidates) == 0 {
		return s.dequeueRefused(q, details.reason, details.message, details.retryAfter)
	}
	s.dequeue(q)
	s.addUsage(&q.request, "", usage.Counters{Forwarded: 1})
	return &Forward{
		Request:     &q.request,
		DataCentres: candidates,
		Refusal: Refuse{
			Request:    &q.request,
			Reason:     details.reason,
			Message:    details.message,
			RetryAfter: details.retryAfter,
		},
	}
}
