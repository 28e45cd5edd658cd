package schedule

import (
	"slices"
	"time"

	"github.com/cornelyard/cornelyard/fairshare"
)

// earlyRefusalRatio is the fraction of the latency objective after which a request is no longer
// refused because of the shares: a caller that is refused later has too little time left for a
// retry.
const earlyRefusalRatio = 1.0 / 8

// updateShares calculates the start tags of the queued requests, and of one that is about to be
// queued, while the capacity of the pool is scarce. Otherwise the order is that of the latest
// starts alone.
func (s *Scheduler) updateShares(now time.Time, p *pool, arriving *queuedRequest) {
	scarce := p.shares.scarce(now)
	if scarce != p.shares.inForce {
		p.shares.inForce = scarce
		s.scarcityEvents = append(s.scarcityEvents, ScarcityEvent{
			Pool: p.name, Scarce: scarce, Local: p.shares.short(now), Queued: len(p.queue.items),
		})
		if !scarce {
			p.clearTags()
		}
	}
	if !scarce || s.ratedHosts() {
		return
	}
	if p.shares.peersChanged {
		p.shares.peersChanged = false
		others, _ := s.peerTeamLoads(now, p)
		p.shares.accounts.ReplaceOthers(now, others)
	}
	s.tagRequests(now, p, arriving)
}

func (p *pool) clearTags() {
	for _, w := range p.queue.items {
		w.startTag = 0
	}
	slices.SortFunc(p.queue.items, (*queuedRequest).compare)
}

// tagRequests sets the start tags: the level of the team's account, and what its more urgent
// requests at all hosts add to it.
func (s *Scheduler) tagRequests(now time.Time, p *pool, arriving *queuedRequest) {
	items := slices.Clone(p.queue.items)
	if arriving != nil {
		items = append(items, arriving)
	}
	for _, w := range items {
		w.startTag = 0
	}
	slices.SortFunc(items, (*queuedRequest).compare)
	queued := make(map[fairshare.Key]float64)
	for _, w := range items {
		queued[shareKey(w.request)] += p.slotTime(w.request, w.request.PromptTokens)
	}
	accounts := p.shares.accounts
	accounts.ReplaceOwnQueued(now, queued)
	before := make(map[fairshare.Key]float64, len(queued))
	for _, w := range items {
		key := shareKey(w.request)
		if !accounts.Contested(key) {
			continue
		}
		elsewhere := accounts.QueuedElsewhere(key)
		if elsewhere > 0 {
			elsewhere *= s.competition(now, p.name, w).earlierShare()
		}
		w.startTag = accounts.Level(now, key) + before[key] + elsewhere
		before[key] += p.slotTime(w.request, w.request.PromptTokens)
	}
	slices.SortFunc(p.queue.items, (*queuedRequest).compare)
}

// aheadShare returns the part of the competing requests of other hosts that comes before w. It
// returns false if that is not decided by shares or not known.
func (p *pool) aheadShare(now time.Time, w *queuedRequest, c competition) (share float64, known bool) {
	key := shareKey(w.request)
	if !p.shares.inForce || !p.shares.accounts.Contested(key) {
		return 0, false
	}
	return p.shares.accounts.AheadShare(now, key, w.startTag, c.earlierShare())
}

// slotTime predicts the time on a slot of an average target that a request takes, in seconds. A
// request that needs more than a slot's part of the memory counts as several slots.
func (p *pool) slotTime(r *Request, uncached int) float64 {
	if p.engine == nil {
		return p.meanService
	}
	service := firstEventOverhead.Seconds() + float64(uncached)/p.prefillRate + float64(r.OutputTokens)*p.eventInterval/p.tokensPerEvent()
	return service * p.memorySlots(r)
}

// memorySlots returns the slots' worth of memory that a request takes, at least one.
func (p *pool) memorySlots(r *Request) float64 {
	if p.engine.KVCacheTokens == 0 {
		return 1
	}
	return max(float64(p.engine.Slots)*float64(r.PromptTokens+r.OutputTokens)/float64(p.engine.KVCacheTokens), 1)
}

// cannotBeServed reports whether a request that arrives is refused: it would still wait at
// refuseAt or, if capacity is scarce, it could not start in time.
func (s *Scheduler) cannotBeServed(now time.Time, p *pool, w *queuedRequest) bool {
	start := now.Add(s.predictWait(now, p, w))
	if w.late || !start.After(w.latestStart) {
		return start.After(w.refuseAt)
	}
	if !p.hasUnlimited(now, w.request) {
		return start.After(w.refuseAt)
	}
	wasScarce := p.shares.inForce
	p.shares.recordShortage(now)
	return start.After(w.refuseAt) || wasScarce && !w.due && w.request.refusedEarly()
}

// hasUnlimited reports whether a target without a limit may get the request. Those with limits
// are shared by rates.
func (p *pool) hasUnlimited(now time.Time, r *Request) bool {
	return slices.ContainsFunc(p.candidates(now, r), func(t *target) bool { return !t.limited() })
}

// refuseForShares refuses the queued requests that can't start in time because of others that
// come first by their rank or share.
func (s *Scheduler) refuseForShares(now time.Time, p *pool, actions []Action) []Action {
	if !p.shares.inForce {
		return actions
	}
	for i := 0; i < len(p.queue.items); {
		w := p.queue.items[i]
		if !s.isRefusedForShares(now, p, w) {
			i++
			continue
		}
		p.queue.items = slices.Delete(p.queue.items, i, i+1)
		actions = append(actions, s.refuse(now, p, w, "capacity is scarce and no slot will be free in time"))
	}
	return actions
}

// isRefusedForShares reports whether a queued request is refused because requests that come
// first by their rank or share arrived after it and leave no slot in time.
func (s *Scheduler) isRefusedForShares(now time.Time, p *pool, w *queuedRequest) bool {
	r := w.request
	if w.late || w.due || !r.refusedEarly() {
		return false
	}
	if now.Sub(r.Arrived) > time.Duration(earlyRefusalRatio*float64(r.Objective.Sub(r.Arrived))) {
		return false
	}
	return p.hasUnlimited(now, r) && now.Add(s.predictWait(now, p, w)).After(w.latestStart)
}

// refusedEarly reports whether a request is refused as soon as it can't start in time. Work that
// has been done for a repeat or a resumed stream would be lost.
func (r *Request) refusedEarly() bool { return !r.Repeat && !r.RequiresVersion }
