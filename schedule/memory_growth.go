package schedule

import "time"

const (
	// growthSlot is the resolution of memoryGrowth.
	growthSlot = 50 * time.Millisecond
	// growthSlots is the number of slots that count: a window, and the time by which the same state
	// reaches some hosts later than others.
	growthSlots = 7
)

// memoryGrowth is by how many tokens the known use of a target's memory grew lately, without what
// ended. What this host has learned lately, others may not have known when they sent requests.
type memoryGrowth struct {
	// slot is the number of the newest slot, and tokens the growth by slot.
	slot   int64
	tokens [growthSlots]int
}

// moveTo makes the slot of the given time the newest one.
func (g *memoryGrowth) moveTo(now time.Time) {
	slot := now.UnixMilli() / growthSlot.Milliseconds()
	for next := max(g.slot+1, slot-growthSlots+1); next <= slot; next++ {
		g.tokens[next%growthSlots] = 0
	}
	g.slot = max(g.slot, slot)
}

func (g *memoryGrowth) add(now time.Time, tokens int) {
	g.moveTo(now)
	g.tokens[g.slot%growthSlots] += tokens
}

// total returns the growth over the slots that count.
func (g *memoryGrowth) total(now time.Time) int {
	g.moveTo(now)
	sum := 0
	for _, tokens := range g.tokens {
		sum += tokens
	}
	return sum
}

// replaceLoads replaces the loads of an older state in the totals.
func (s *Scheduler) replaceLoads(now time.Time, before, after *peerState) {
	known := make([]int, len(after.state.Loads))
	for i := range after.state.Loads {
		if t := s.targets[after.state.Loads[i].Target]; t != nil {
			known[i] = t.peers.KVTokens
		}
	}
	if before != nil {
		s.addLoads(before, removed)
	}
	s.addLoads(after, added)
	for i := range after.state.Loads {
		if t := s.targets[after.state.Loads[i].Target]; t != nil && t.peers.KVTokens > known[i] {
			t.memoryGrowth.add(now, t.peers.KVTokens-known[i])
		}
	}
}
