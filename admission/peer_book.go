package admission

import (
	"cmp"
	"slices"
	"time"

	"github.com/cornelyard/cornelyard/ident"
)

const (
	// peerHintAge is the age beyond which a hint is not acted on.
	peerHintAge = 3 * time.Second
	// peerYields bounds the requests sent on one hint to a pool that has no free
	// slot but lower tiers that would yield.
	peerYields = 4
)

// peerBook keeps the newest hint from each other data centre.
type peerBook struct {
	peers []*peerHint
}

// peerHint is a hint and how far it was acted on.
type peerHint struct {
	PoolHint
	spent int
}

func (b *peerBook) note(p PoolHint) {
	for _, known := range b.peers {
		if known.DataCentre == p.DataCentre {
			*known = peerHint{PoolHint: p}
			return
		}
	}
	b.peers = append(b.peers, &peerHint{PoolHint: p})
}

// takers returns the data centres that would take a request of the rank which
// runs for so long, best first, and counts it as sent to the best.
func (b *peerBook) takers(now time.Time, rank int, run time.Duration, deadline time.Time) []ident.DataCentre {
	var takers []*peerHint
	for _, peer := range b.peers {
		if peer.takes(now, rank, run, deadline) {
			takers = append(takers, peer)
		}
	}
	if len(takers) == 0 {
		return nil
	}
	slices.SortStableFunc(takers, func(a, b *peerHint) int {
		return cmp.Or(cmp.Compare(a.cost(), b.cost()), cmp.Compare(a.DataCentre, b.DataCentre))
	})
	takers[0].spent++
	names := make([]ident.DataCentre, len(takers))
	for i, taker := range takers {
		names[i] = taker.DataCentre
	}
	return names
}

func (h *peerHint) takes(now time.Time, rank int, run time.Duration, deadline time.Time) bool {
	if now.Sub(h.At) > peerHintAge {
		return false
	}
	free := h.spent < h.FreeSlots
	yields := h.LowestRank > rank && h.spent < h.FreeSlots+peerYields
	if !free && !yields {
		return false
	}
	return !now.Add(h.cost() + run).After(deadline)
}

// cost returns the extra time that the data centre takes.
func (h *peerHint) cost() time.Duration {
	cost := 2 * h.OneWayDelay
	if h.spent >= h.FreeSlots {
		cost += h.Wait
	}
	return cost
}
