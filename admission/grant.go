package admission

import "time"

// grant gives a queued request a slot and charges its team the expected usage.
// The charge is corrected when the request ends.
func (s *Scheduler) grant(now time.Time, q *queuedRequest, target *targetState) *Grant {
	team := q.team
	team.tier.advanceVirtualTime(team)
	s.prefixes.Match(q.work.Prefix)
	cached := s.prefixes.CachedTokens(q.request.PromptTokens, target.Target)
	s.dequeue(q)
	r := &runningRequest{
		request:          q.request,
		deadline:         q.deadline,
		target:           target,
		team:             team,
		sequence:         q.sequence,
		granted:          now,
		length:           q.length,
		uncalibratedCost: q.uncalibratedCost,
		uncachedTokens:   q.request.PromptTokens - cached,
	}
	r.prefillQueueTokens = r.uncachedTokens + target.PendingPrefill
	s.startRunning(now, r)
	s.predictEnd(now, r)
	r.chargedTokenSeconds = tokenSeconds(r.request.PromptTokens, q.length.Mean, r.expectedEnd.Sub(now))
	team.tier.charge(now, team, r.chargedTokenSeconds)
	s.prefixes.Add(target.Target, q.request.Prefix)
	suspects := s.crashes.SuspectsIn(now, q.request.Content)
	r.trial = len(suspects) > 0
	return &Grant{Request: &q.request, Target: target.Name, Suspects: suspects}
}
