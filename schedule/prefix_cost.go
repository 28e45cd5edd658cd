package schedule

import "time"

const (
	// evictedValue is the part of the time to process evicted tokens that their eviction is
	// expected to cost. The least recently used prefixes are evicted, most of which would not
	// have been used again.
	evictedValue = 0.25
	// unseenSpread is the ratio of the largest number of unseen requests that is assumed to their
	// mean. Twice the mean would do for those that were sent; as many of those that are known
	// may have ended.
	unseenSpread = 4.0
)

// unseenArrivals describes the requests that other hosts may have sent since their last states. It
// is zero where prefixes are not weighed.
type unseenArrivals struct {
	// perTarget is the mean number of requests per second that they send to one target.
	perTarget float64
	// age is the mean time since their states were received, in seconds.
	age float64
}

func (s *Scheduler) unseenArrivals(now time.Time, p *pool, r *Request) unseenArrivals {
	if !p.weighsPrefixes(r) {
		return unseenArrivals{}
	}
	rate := 0.0
	for i := range p.peerDemands.entries {
		rate += p.peerDemands.entries[i].value.rate
	}
	return unseenArrivals{perTarget: rate / float64(max(len(p.targets), 1)), age: s.meanStateAge(now).Seconds()}
}

// weighsPrefixes reports whether the request is placed by what targets have cached in their memory.
func (p *pool) weighsPrefixes(r *Request) bool { return p.knowsMemory() && len(r.PromptBlocks) > 0 }

// prefixCost returns what a request with prompt blocks costs on a target, in seconds, beside its own
// time: the prefixes that it evicts there, and the wait for unseen requests.
//
// The number of unseen requests is drawn at random for each target, because hosts that know the
// same states would otherwise all choose the same target with a hot prefix. Those sent before the
// target last reported its load are known.
func (s *Scheduler) prefixCost(now time.Time, p *pool, r *Request, t *target, unseen unseenArrivals) float64 {
	if !p.weighsPrefixes(r) {
		return 0
	}
	added := s.uncached(now, p, r, t)
	evicted := min(max(t.prefixes.tokens+added-p.prefixRoom(t), 0), added)
	cost := evictedValue * float64(evicted) / p.prefillRateOf(now, t)
	age := min(unseen.age, p.meanService, now.Sub(t.unattributedAt).Seconds())
	if count := unseen.perTarget * age; count > 0 {
		cost += unseenSpread * s.random() * count * p.meanService / float64(max(t.Slots, 1))
	}
	return cost
}

// meanStateAge returns the mean time since states of the other hosts were received. Hosts of which
// nothing is known count with peerStateTTL.
func (s *Scheduler) meanStateAge(now time.Time) time.Duration {
	known, sum := 0, time.Duration(0)
	for peer := range s.peerStates() {
		known += peer.hosts
		sum += time.Duration(peer.hosts) * min(now.Sub(peer.receivedAt), peerStateTTL)
	}
	sum += time.Duration(max(s.peerCount-known, 0)) * peerStateTTL
	return sum / time.Duration(max(known, s.peerCount, 1))
}
