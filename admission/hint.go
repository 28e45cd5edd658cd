package admission

import "time"

// Hint summarises the pool for other data centres.
func (s *Scheduler) Hint(now time.Time) PoolHint {
	hint := PoolHint{DataCentre: s.options.DataCentre, LowestRank: -1, At: now}
	hint.FreeSlots = max(0, s.freeSlots(now)-len(s.queue))
	for _, tier := range s.tiers {
		if tier.queued > 0 || tier.continuing() > 0 {
			hint.LowestRank = tier.rank
		}
	}
	if hint.FreeSlots == 0 && len(s.tiers) > 0 {
		hint.Wait = s.predictWait(now, s.tiers[0].rank)
	}
	return hint
}
