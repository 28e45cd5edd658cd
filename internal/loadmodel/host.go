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
	told []told
	// heard counts what was heard of each other host.
	heard []int
	// next is the engine that the baseline begins its search with.
	next int
}

// told is what a host said at one time.
type told struct {
	at    time.Duration
	state schedule.State
}

// tell says the host's state after a change, and at each heartbeat.
func (h *host) tell(now, least time.Duration) {
	if last := len(h.told) - 1; last >= 0 {
		age := now - h.told[last].at
		if age < least || !h.changed && age < heartbeat {
			return
		}
	}
	h.changed = false
	h.told = append(h.told, told{at: now, state: h.scheduler.LocalState(clock(now))})
}

// hear takes in what another host said so long ago, if it was not heard before.
func (h *host) hear(now, news time.Duration, index int, other *host) {
	before := h.heard[index]
	for h.heard[index] < len(other.told) && now-other.told[h.heard[index]].at >= news {
		h.heard[index]++
	}
	if h.heard[index] == before {
		return
	}
	h.scheduler.ApplyPeerState(clock(now), other.name, other.told[h.heard[index]-1].state)
}

// leastOwn returns the engine where this host has the fewest requests.
func (h *host) leastOwn(engines []*engine) *engine {
	h.next++
	best, fewest := engines[0], -1
	for i := range engines {
		e := engines[(h.next+i)%len(engines)]
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
