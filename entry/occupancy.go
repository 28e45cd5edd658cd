package entry

import "sync"

// occupancy bounds the requests held at once. A full host gives up the lowest
// tier first.
type occupancy struct {
	mu    sync.Mutex
	limit int
	count int
	ranks map[int]map[*occupant]struct{}
}

func newOccupancy(limit int) *occupancy {
	return &occupancy{limit: limit, ranks: make(map[int]map[*occupant]struct{})}
}

// enter takes a place, if need be that of an occupant of a lower tier. It
// returns false if there is none.
func (o *occupancy) enter(newcomer *occupant) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.count >= o.limit && !o.evictBelow(newcomer.rank) {
		return false
	}
	o.add(newcomer)
	return true
}

// leave gives the place back. It may be called again.
func (o *occupancy) leave(who *occupant) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.remove(who)
}

// held returns the number of places in use.
func (o *occupancy) held() int {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.count
}

func (o *occupancy) evictBelow(rank int) bool {
	victim := o.victimBelow(rank)
	if victim == nil {
		return false
	}
	o.remove(victim)
	victim.evict()
	return true
}

// victimBelow picks the cheapest occupant of the lowest tier that can be
// stopped.
func (o *occupancy) victimBelow(rank int) *occupant {
	var best *occupant
	bestState := unstoppable
	for r, occupants := range o.ranks {
		if r <= rank || (best != nil && r < best.rank) {
			continue
		}
		for candidate := range occupants {
			state := candidate.state()
			if state == unstoppable {
				continue
			}
			if best == nil || r > best.rank || state < bestState {
				best, bestState = candidate, state
			}
		}
	}
	return best
}

func (o *occupancy) add(who *occupant) {
	if o.ranks[who.rank] == nil {
		o.ranks[who.rank] = make(map[*occupant]struct{})
	}
	o.ranks[who.rank][who] = struct{}{}
	o.count++
}

func (o *occupancy) remove(who *occupant) {
	occupants := o.ranks[who.rank]
	if _, ok := occupants[who]; !ok {
		return
	}
	delete(occupants, who)
	o.count--
}
