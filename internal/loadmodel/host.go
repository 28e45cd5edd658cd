package loadmodel

import (
	"time"

	"github.com/cornelyard/cornelyard/ident"
	"github.com/cornelyard/cornelyard/schedule"
)

// heartbeat is the longest time between two states that a host tells.
const heartbeat = 100 * time.Millisecond

// host is one entry host with its scheduler.
type host struct {
	name       ident.Host
	dataCentre ident.DataCentre
	scheduler  *schedule.Scheduler
	// changed says that there is something to tell.
	changed bool
	// told is what it said, oldest first.
	sentStates []sentState
	// heard counts what was heard of each other host.
	receivedCounts []int
	// next is the engine that the baseline begins its search with.
	nextEngine int
}

// told is what a host said at one time.
type sentState struct {
	at    time.Duration
	state schedule.State
}

// tell says the host's state after a change, and at each heartbeat.
func (h *host) publishState(now, least time.Duration) {
	if last := len(h.sentStates) - 1; last >= 0 {
		age := now - h.sentStates[last].at
		if age < least || !h.changed && age < heartbeat {
			return
		}
	}
	h.changed = false
	h.sentStates = append(h.sentStates, sentState{at: now, state: h.scheduler.LocalState(clock(now))})
}

// hear takes in what another host said so long ago, if it was not heard before.
func (h *host) receiveState(now, news time.Duration, index int, other *host) {
	before := h.receivedCounts[index]
	for h.receivedCounts[index] < len(other.sentStates) && now-other.sentStates[h.receivedCounts[index]].at >= news {
		h.receivedCounts[index]++
	}
	if h.receivedCounts[index] == before {
		return
	}
	h.scheduler.ApplyPeerState(clock(now), other.name, other.sentStates[h.receivedCounts[index]-1].state)
}

// leastOwn returns the engine where this host has the fewest requests.
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
