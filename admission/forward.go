package admission

import (
	"time"

	"github.com/cornelyard/cornelyard/ident"
	"github.com/cornelyard/cornelyard/outcome"
	"github.com/cornelyard/cornelyard/usage"
)

// giveAway sends a queued request to the data centres that would take it, or
// refuses it.
func (s *Scheduler) forwardOrRefuse(now time.Time, q *queuedRequest, details refusalDetails) Action {
	run := secondsToDuration(s.expectedSeconds(now, q.request.PromptTokens, q.work.Length.Mid))
	return s.forwardOrRefuseWithRun(now, q, details, run)
}

// sendInfeasible does the same with a request that this pool is too slow for;
// how fast the others are is not known here.
func (s *Scheduler) forwardOrRefuseInfeasible(now time.Time, q *queuedRequest) {
	s.pendingActions = append(s.pendingActions, s.forwardOrRefuseWithRun(now, q, refusalDetails{
		reason:  outcome.Infeasible,
		message: "the deadline is too short for this request",
	}, 0))
}

// sendOrRefuse forwards a request that is expected to run for so long elsewhere,
// or refuses it. A request that was forwarded here is not forwarded again.
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
