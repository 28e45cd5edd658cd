package admission

import (
	"cmp"
	"slices"
	"time"

	"github.com/cornelyard/cornelyard/ident"
)

const (
	// maxPeerHintAge is the age beyond which a hint is ignored.
	maxPeerHintAge = 3 * time.Second
	// maxForwardsWhenBusy bounds the requests forwarded on one hint, beyond its
	// free slots, to a pool that can preempt lower tiers for them.
	maxForwardsWhenBusy = 4
)

// peerHintTable keeps the newest hint from each other data centre.
type peerHintTable struct {
	hints []*peerHint
}

func (t *peerHintTable) update(hint PoolHint) {
	for _, existing := range t.hints {
		if existing.DataCentre == hint.DataCentre {
			*existing = peerHint{PoolHint: hint}
			return
		}
	}
	t.hints = append(t.hints, &peerHint{PoolHint: hint})
}

// candidates returns the data centres that would accept a request of the rank
// with the expected run, best first. The request is counted as forwarded to the
// first.
func (t *peerHintTable) candidates(now time.Time, rank int, run time.Duration, deadline time.Time) []ident.DataCentre {
	var accepting []*peerHint
	for _, peer := range t.hints {
		if peer.accepts(now, rank, run, deadline) {
			accepting = append(accepting, peer)
		}
	}
	if len(accepting) == 0 {
		return nil
	}
	slices.SortStableFunc(accepting, func(a, t *peerHint) int {
		return cmp.Or(cmp.Compare(a.extraDelay(), t.extraDelay()), cmp.Compare(a.DataCentre, t.DataCentre))
	})
	accepting[0].forwarded++
	names := make([]ident.DataCentre, len(accepting))
	for i, candidate := range accepting {
		names[i] = candidate.DataCentre
	}
	return names
}
