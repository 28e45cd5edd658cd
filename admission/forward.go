package admission

import (
	"time"

	"github.com/cornelyard/cornelyard/ident"
	"github.com/cornelyard/cornelyard/outcome"
	"github.com/cornelyard/cornelyard/usage"
)

// giveAway sends a queued request to the data centres that would take it, or
// refuses it.
func (s *Scheduler) giveAway(now time.Time, q *queued, text refusalText) Action {
	run := duration(s.expectedSeconds(now, q.request.PromptTokens, q.work.Length.Median))
	return s.sendOrRefuse(now, q, text, run)
}

// sendInfeasible does the same with a request that this pool is too slow for;
// how fast the others are is not known here.
func (s *Scheduler) sendInfeasible(now time.Time, q *queued) {
	s.pending = append(s.pending, s.sendOrRefuse(now, q, refusalText{
		reason:  outcome.Infeasible,
		message: "the deadline is too short for this request",
	}, 0))
}

// sendOrRefuse forwards a request that is expected to run for so long elsewhere,
// or refuses it. A request that was forwarded here is not forwarded again.
func (s *Scheduler) sendOrRefuse(now time.Time, q *queued, text refusalText, run time.Duration) Action {
	q.team.tier.demand.add(now, -q.cost)
	var takers []ident.DataCentre
	if !q.request.Forwarded {
		takers = s.peers.takers(now, q.rank(), run, q.deadline)
	}
	if len(takers) == 0 {
		return s.refusal(q, text.reason, text.message, text.retryAfter)
	}
	s.dequeue(q)
	s.count(&q.request, "", usage.Counters{Forwarded: 1})
	return &Forward{
		Request:     &q.request,
		DataCentres: takers,
		Refusal: Refuse{
			Request:    &q.request,
			Reason:     text.reason,
			Message:    text.message,
			RetryAfter: text.retryAfter,
		},
	}
}
