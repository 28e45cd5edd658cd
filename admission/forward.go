package admission

import (
	"time"

	"github.com/cornelyard/cornelyard/usage"
)

// giveAway sends a queued request to the data centres that would take it, or
// refuses it. A request that was forwarded here is not forwarded again.
func (s *Scheduler) giveAway(now time.Time, q *queued, text refusalText) Action {
	q.team.tier.demand.add(now, -q.cost)
	if q.request.Forwarded {
		return s.refusal(q, text.reason, text.message, text.retryAfter)
	}
	run := time.Duration(s.expectedSeconds(now, q.request.PromptTokens, q.work.Length.Mid) * float64(time.Second))
	takers := s.peers.takers(now, q.rank(), run, q.deadline)
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
