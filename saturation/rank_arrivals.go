package saturation

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/cornelyard/cornelyard/schedule"
)

const (
	// arrivalTime is the time constant of the decay of past arrivals.
	arrivalTime = time.Second
	// maxRanks bounds the ranks that are counted. Arrivals of further ones are not counted, and
	// decided on as if nothing had arrived at their rank.
	maxRanks = 64
	// minArrivals is the decayed count below which a rank is dropped.
	minArrivals = 0.01
)

// rankArrivals counts arrivals by rank, with exponential decay.
type rankArrivals struct {
	counts    []rankCount
	decayedAt time.Time
}

// rankCount is the decayed number of arrivals of one rank.
type rankCount struct {
	rank  schedule.Rank
	count float64
}

// record counts an arrival. It returns the shares of all arrivals that are of more urgent ranks and of
// this one.
func (a *rankArrivals) record(now time.Time, rank schedule.Rank) (before, own float64) {
	a.decay(now)
	at, known := slices.BinarySearchFunc(a.counts, rank, func(c rankCount, r schedule.Rank) int { return c.rank.Compare(r) })
	if !known && len(a.counts) < maxRanks {
		a.counts = slices.Insert(a.counts, at, rankCount{rank: rank})
		known = true
	}
	if known {
		a.counts[at].count++
	}
	sum := 0.0
	for _, c := range a.counts {
		sum += c.count
		switch cmp.Compare(c.rank.Compare(rank), 0) {
		case -1:
			before += c.count
		case 0:
			own = c.count
		}
	}
	return before / sum, own / sum
}

func (a *rankArrivals) decay(now time.Time) {
	if !now.After(a.decayedAt) {
		return
	}
	factor := math.Exp(-now.Sub(a.decayedAt).Seconds() / arrivalTime.Seconds())
	a.decayedAt = now
	for i := range a.counts {
		a.counts[i].count *= factor
	}
	a.counts = slices.DeleteFunc(a.counts, func(c rankCount) bool { return c.count < minArrivals })
}
