package schedule

import (
	"slices"
	"time"
)

// prefixAnnouncement is the least time between two reports of a beginning of prompts to the other
// hosts. Prefixes are evicted after many times as long, so that their order hardly suffers.
const prefixAnnouncement = 2 * time.Second

// predictedCached returns how many tokens of the prompt the target is predicted to have cached.
func (s *Scheduler) predictedCached(now time.Time, p *pool, r *Request, t *target) int {
	if p.engine == nil || len(r.PromptBlocks) == 0 {
		return 0
	}
	if !p.knowsMemory() {
		return r.PromptTokens - s.prefixes.uncached(now, r, t.Name)
	}
	memo := &t.prefixes.memo
	if memo.request != r || !memo.at.Equal(now) {
		tokens := t.prefixes.cached(r.promptPrefixes())
		*memo = prefixMemo{request: r, at: now, tokens: min(tokens, r.PromptTokens)}
	}
	return memo.tokens
}

// uncached returns how many tokens of the prompt the target is expected to process. Predictions of
// a target count less if others have failed.
func (s *Scheduler) uncached(now time.Time, p *pool, r *Request, t *target) int {
	cached := s.predictedCached(now, p, r, t)
	if cached == 0 || !p.knowsMemory() {
		return r.PromptTokens - cached
	}
	return r.PromptTokens - int(t.prefixes.trust.value(now)*float64(cached))
}

// recordPrefixes records that the target gets a prompt, and queues the beginnings of it for the other
// hosts that they may not know to be in use. Longer ones are recorded before the shorter ones that
// they contain, which are evicted later.
func (s *Scheduler) recordPrefixes(now time.Time, p *pool, r *Request, t *target) {
	p.memory.recordUse(r)
	p.memory.counts.Predicted += int64(s.predictedCached(now, p, r, t))
	prefixes := r.promptPrefixes()
	for i := len(prefixes) - 1; i >= 0; i-- {
		prefix := prefixes[i]
		if prefix.tokens == 0 {
			continue
		}
		e := t.prefixes.use(now, prefix.hash, prefix.tokens)
		if e.usedAt-e.announcedAt >= prefixAnnouncement.Milliseconds() {
			e.announcedAt = e.usedAt
			s.queuePrefixLocation(PrefixLocation{Hash: prefix.hash, Target: t.Name, Tokens: prefix.tokens})
		}
	}
	p.memory.counts.Evicted += int64(t.prefixes.evict(p.prefixRoom(t)))
}

// applyPrefixLocations records what another host has sent to targets. A location without a length
// only shows that a beginning that is known is in use.
func (s *Scheduler) applyPrefixLocations(now time.Time, locations []PrefixLocation) {
	for _, l := range locations {
		t := s.targets[l.Target]
		if t == nil || !s.pools[t.Pool].knowsMemory() {
			s.prefixes.record(now, l.Hash, l.Target)
			continue
		}
		p := s.pools[t.Pool]
		if i, known := t.prefixes.indexes[l.Hash]; known {
			t.prefixes.use(now, l.Hash, int(t.prefixes.entries[i].tokens))
			continue
		}
		if l.Tokens <= 0 || l.Tokens > p.engine.KVCacheTokens {
			continue
		}
		t.prefixes.use(now, l.Hash, l.Tokens)
		p.memory.counts.Evicted += int64(t.prefixes.evict(p.prefixRoom(t)))
	}
}

// forgetPrefixes removes what is known of the cache of a target's former process.
func (s *Scheduler) forgetPrefixes(t *target) {
	s.prefixes.removeTarget(t.Name)
	t.prefixes = targetPrefixes{}
	sent := 0
	kept := s.prefixLocations[:0]
	for i, l := range s.prefixLocations {
		if l.Target == t.Name {
			continue
		}
		if i < s.prefixLocationsSent {
			sent++
		}
		kept = append(kept, l)
	}
	s.prefixLocations, s.prefixLocationsSent = slices.Clip(kept), sent
}
