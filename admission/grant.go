package admission

import "time"

// grant gives a queued request a slot and charges its team what it is expected
// to use; the account is settled when it ends.
func (s *Scheduler) grant(now time.Time, q *queued, target *targetState) *Grant {
	team := q.team
	team.tier.served(team)
	s.prefixes.Match(q.work.Prefix)
	cached := s.prefixes.CachedTokens(q.request.PromptTokens, target.Target)
	s.dequeue(q)
	r := &running{
		request:  q.request,
		deadline: q.deadline,
		target:   target,
		team:     team,
		sequence: q.sequence,
		granted:  now,
		length:   q.length,
		rawCost:  q.rawCost,
		computed: q.request.PromptTokens - cached,
	}
	r.prefillWork = r.computed + target.PendingPrefill
	s.start(now, r)
	s.expectEnd(now, r)
	r.charged = tokenSeconds(r.request.PromptTokens, q.length.Mean, r.expectedEnd.Sub(now))
	team.tier.charge(now, team, r.charged)
	s.prefixes.Add(target.Target, q.request.Prefix)
	return &Grant{Request: &q.request, Target: target.Name}
}
