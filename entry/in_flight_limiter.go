package entry

import "sync"

// inFlightLimiter limits the requests in flight on this host. At the limit, a
// request of a higher tier evicts one of the lowest tier.
type inFlightLimiter struct {
	mu     sync.Mutex
	limit  int
	count  int
	byRank map[int]map[*inFlightRequest]struct{}
}

func newInFlightLimiter(limit int) *inFlightLimiter {
	return &inFlightLimiter{limit: limit, byRank: make(map[int]map[*inFlightRequest]struct{})}
}

// acquire adds the request, evicting one of a lower tier if the limit is reached.
// It returns false if there is none to evict.
func (l *inFlightLimiter) acquire(request *inFlightRequest) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.count >= l.limit && !l.evictLowerTier(request.rank) {
		return false
	}
	l.add(request)
	return true
}

// release removes the request. It may be called more than once.
func (l *inFlightLimiter) release(request *inFlightRequest) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.remove(request)
}

// size returns the number of requests in flight.
func (l *inFlightLimiter) size() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.count
}

func (l *inFlightLimiter) evictLowerTier(rank int) bool {
	victim := l.selectVictim(rank)
	if victim == nil {
		return false
	}
	l.remove(victim)
	victim.evict()
	return true
}

// selectVictim returns the request that is cheapest to evict in the lowest tier
// with an evictable request, or nil. Only tiers below rank are considered; a
// larger rank is a lower tier.
func (l *inFlightLimiter) selectVictim(rank int) *inFlightRequest {
	var victim *inFlightRequest
	victimState := unevictable
	for r, requests := range l.byRank {
		if r <= rank || (victim != nil && r < victim.rank) {
			continue
		}
		for candidate := range requests {
			state := candidate.state()
			if state == unevictable {
				continue
			}
			if victim == nil || r > victim.rank || state < victimState {
				victim, victimState = candidate, state
			}
		}
	}
	return victim
}

func (l *inFlightLimiter) add(request *inFlightRequest) {
	if l.byRank[request.rank] == nil {
		l.byRank[request.rank] = make(map[*inFlightRequest]struct{})
	}
	l.byRank[request.rank][request] = struct{}{}
	l.count++
}

func (l *inFlightLimiter) remove(request *inFlightRequest) {
	requests := l.byRank[request.rank]
	if _, ok := requests[request]; !ok {
		return
	}
	delete(requests, request)
	l.count--
}
