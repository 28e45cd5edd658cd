package schedule

import (
	"math"
	"time"

	"github.com/cornelyard/cornelyard/ident"
)

// Backlog summarizes the requests that one host, or all hosts of a data centre, have
// queued in one pool at one rank.
type Backlog struct {
	Pool  ident.Pool
	Rank  Rank
	Count int
	// Laxity is how long the most urgent of these requests can still wait, and Spread
	// is how much longer the least urgent one can.
	Laxity time.Duration
	Spread time.Duration
}

// add adds count requests whose laxity lies between least and most.
func (b *Backlog) add(count int, least, most time.Duration) {
	if b.Count > 0 {
		least, most = min(least, b.Laxity), max(most, b.Laxity+b.Spread)
	}
	b.Count += count
	b.Laxity, b.Spread = least, most-least
}

// countAhead estimates how many requests of a backlog reported age ago come before w,
// whose laxity is given. It assumes that their laxity is evenly distributed.
func (b *Backlog) countAhead(age time.Duration, w *queuedRequest, laxity time.Duration) int {
	least := b.Laxity - age
	if late := least < 0; late != w.late {
		return b.countIf(!late)
	}
	if order := b.Rank.Compare(w.request.Rank); order != 0 {
		return b.countIf(order < 0)
	}
	if laxity <= least || b.Spread <= 0 {
		return b.countIf(least < laxity)
	}
	share := min(float64(laxity-least)/float64(b.Spread), 1)
	return int(math.Round(share * float64(b.Count)))
}

// competes reports whether the requests of a backlog reported age ago have the rank of w and,
// like it, can or can't be on time.
func (b *Backlog) competes(age time.Duration, w *queuedRequest) bool {
	return b.Rank == w.request.Rank && (b.Laxity < age) == w.late
}

func (b *Backlog) countIf(before bool) int {
	if before {
		return b.Count
	}
	return 0
}
