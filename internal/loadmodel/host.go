package loadmodel

import (
	"time"

	"github.com/cornelyard/cornelyard/hoststate"
	"github.com/cornelyard/cornelyard/ident"
	"github.com/cornelyard/cornelyard/schedule"
)

// heartbeat is the longest interval at which a host publishes its state.
const heartbeat = 100 * time.Millisecond

// host is one entry host with its scheduler.
type host struct {
	name       ident.Host
	dataCentre ident.DataCentre
	// cell is the host's cell in its data centre.
	cell      int
	scheduler *schedule.Scheduler
	// changed is set if the state has changed since it was last published.
	changed bool
	// arrival is set if a request has arrived since the last decision.
	arrival bool
	// sentStates are the states published to the hosts of the same cell, and farStates those
	// published to the others of the data centre.
	sentStates sentStates
	farStates  sentStates
	// unsent holds what has not been published to the hosts of other cells yet.
	unsent hoststate.Coalescer
	// pressure says whether requests have waited lately.
	pressure hoststate.Pressure
	// receivedCounts holds, by host index, how many of that host's states were received.
	receivedCounts []int
	// nextEngine is the index at which the baseline policy starts its search.
	nextEngine int
}

// publishState publishes the host's state after a change and at each heartbeat, at
// intervals of at least minInterval, and to the hosts of other cells at farInterval.
func (h *host) publishState(now, minInterval, farInterval time.Duration) {
	if last, published := h.sentStates.lastAt(); published {
		age := now - last
		if age < minInterval || !h.changed && age < heartbeat {
			return
		}
	}
	h.changed = false
	state := h.scheduler.LocalState(clock(now))
	h.pressure.Record(clock(now), &state)
	h.sentStates = append(h.sentStates, sentState{at: now, state: state})
	h.unsent.Add(&hoststate.Message{Schedule: state})
	if last, published := h.farStates.lastAt(); published && now-last < farInterval {
		return
	}
	h.farStates = append(h.farStates, sentState{at: now, state: h.unsent.Take().Schedule})
}

// minInterval returns the shortest interval at which the host publishes its state now.
func (h *host) minInterval(now time.Duration, s *Scenario) time.Duration {
	if h.pressure.High(clock(now)) {
		return s.MinPeerStateInterval
	}
	return max(s.MinPeerStateInterval, s.RelaxedPeerStateInterval)
}

// receiveState applies the latest state that the other host published to this one at least
// delay ago, unless it was already applied.
func (h *host) receiveState(now, delay time.Duration, index int, other *host) {
	sent := other.sentStates
	if h.cell != other.cell {
		sent = other.farStates
	}
	before := h.receivedCounts[index]
	for h.receivedCounts[index] < len(sent) && now-sent[h.receivedCounts[index]].at >= delay {
		h.receivedCounts[index]++
	}
	if h.receivedCounts[index] == before {
		return
	}
	state := sent[h.receivedCounts[index]-1].state
	h.pressure.Record(clock(now), &state)
	h.scheduler.ApplyPeerState(clock(now), other.name, state)
}

// leastLocalEngine returns the engine with the fewest requests from this host.
func (h *host) leastLocalEngine(engines []*engine) *engine {
	h.nextEngine++
	best, fewest := engines[0], -1
	for i := range engines {
		e := engines[(h.nextEngine+i)%len(engines)]
		own := 0
		for _, r := range append(e.running, e.queue...) {
			if r.hostName() == h.name {
				own++
			}
		}
		if fewest < 0 || own < fewest {
			best, fewest = e, own
		}
	}
	return best
}
