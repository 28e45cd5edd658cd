package admission

import "time"

// peerHint is a hint and the number of requests forwarded on it.
type peerHint struct {
	PoolHint
	forwarded int
}

func (h *peerHint) accepts(now time.Time, rank int, run time.Duration, deadline time.Time) bool {
	if now.Sub(h.At) > maxPeerHintAge {
		return false
	}
	free := h.forwarded < h.FreeSlots
	preemptible := h.LowestRank > rank && h.forwarded < h.FreeSlots+maxForwardsWhenBusy
	if !free && !preemptible {
		return false
	}
	return !now.Add(h.extraDelay() + run).After(deadline)
}

// extraDelay returns the network round trip and, if no slot is free, the wait
// there.
func (h *peerHint) extraDelay() time.Duration {
	delay := 2 * h.OneWayDelay
	if h.forwarded >= h.FreeSlots {
		delay += h.Wait
	}
	return delay
}
