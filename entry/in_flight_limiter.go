package entry

import "sync"

// inFlightLimiter bounds the requests held at once. A full host gives up the lowest
// tier first.
type inFlightLimiter struct {
	mu    sync.Mutex
	limit int
	count int
	byRank map[int]map[*inFlightRequest]struct{}
}

func newInFlightLimiter(limit int) *inFlightLimiter {
	return &inFlightLimiter{limit: limit, byRank: make(map[int]map[*inFlightRequest]struct{})}
}

// acquire takes a place, if need be that of an occupant of a lower tier. It
// returns false if there is none.
func (o *inFlightLimiter) acquire(newcomer *inFlightRequest) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.count >= o.limit && !o.evictLowerTier(newcomer.rank) {
		return false
	}
	o.add(newcomer)
	return true
}

// release gives the place back. It may be called again.
func (o *inFlightLimiter) release(who *inFlightRequest) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.remove(who)
}

// size returns the number of places in use.
func (o *inFlightLimiter) size() int {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.count
}

func (o *inFlightLimiter) evictLowerTier(rank int) bool {
	victim := o.selectVictim(rank)
	if victim == nil {
		return false
	}
	o.remove(victim)
	victim.evict()
	return true
}

// selectVictim picks the cheapest occupant of the lowest tier that can be
// stopped.
func (o *inFlightLimiter) selectVictim(rank int) *inFlightRequest {
	var best *inFlightRequest
	bestState := unevictable
	for r, occupants := range o.byRank {
		if r <= rank || (best != nil && r < best.rank) {
			continue
		}
		for candidate := range occupants {
			state := candidate.state()
			if state == unevictable {
				continue
			}
			if best == nil || r > best.rank || state < bestState {
				best, bestState = candidate, state
			}
		}
	}
	return best
}

func (o *inFlightLimiter) add(who *inFlightRequest) {
	if o.byRank[who.rank] == nil {
		o.byRank[who.rank] = make(map[*inFlightRequest]struct{})
	}
	o.byRank[who.rank][who] = struct{}{}
	o.count++
}

func (o *inFlightLimiter) remove(who *inFlightRequest) {
	occupants := o.byRank[who.rank]
	if _, ok := occupants[who]; !ok {
		return
	}
	delete(occupants, who)
	o.count--
}
