package loadmodel

import (
	"time"

	"github.com/cornelyard/cornelyard/ident"
	"github.com/cornelyard/cornelyard/schedule"
)

// heartbeat is the longest interval at which a host publishes its state.
const heartbeat = 100 * time.Millisecond

// host is one entry host with its scheduler.
type host struct {
	name       ident.Host
	dataCentre ident.DataCentre
	scheduler  *schedule.Scheduler
	// changed is set if the state has changed since it was last published.
	changed bool
	// sentStates are the published states, oldest first.
	sentStates []sentState
	// receivedCounts holds, by host index, how many of that host's states were received.
	receivedCounts []int
	// nextEngine is the index at which the baseline policy starts its search.
	nextEngine int
}

// publishState publishes the host's state after a change and at each heartbeat, at
// intervals of at least minInterval.
func (h *host) publishState(now, minInterval time.Duration) {
	if last := len(h.sentStates) - 1; last >= 0 {
		age := now - h.sentStates[last].at
		if age < minInterval || !h.changed && age < heartbeat {
			return
		}
	}
	h.changed = false
	h.sentStates = append(h.sentStates, sentState{at: now, state: h.scheduler.LocalState(clock(now))})
}

// receiveState applies the latest state that the other host published at least delay
// ago, unless it was already applied.
func (h *host) receiveState(now, delay time.Duration, index int, other *host) {
	before := h.receivedCounts[index]
	for h.receivedCounts[index] < len(other.sentStates) && now-other.sentStates[h.receivedCounts[index]].at >= delay {
		h.receivedCounts[index]++
	}
	if h.receivedCounts[index] == before {
		return
	}
	h.scheduler.ApplyPeerState(clock(now), other.name, other.sentStates[h.receivedCounts[index]-1].state)
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
