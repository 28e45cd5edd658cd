package schedule

import (
	"cmp"
	"time"
)

// waiting is a queued request.
type waiting struct {
	request  *Request
	sequence uint64
	// lapse is when it must be sent to a target to be on time; after that it is
	// late.
	lapse time.Time
	// giveUp is when it is refused if it still waits.
	giveUp time.Time
	late   bool
}

// compare orders requests for service: those that can be on time first, then by
// rank, then by the time that is left.
func (w *waiting) compare(other *waiting) int {
	if w.late != other.late {
		if w.late {
			return 1
		}
		return -1
	}
	return cmp.Or(
		w.request.Rank.Compare(other.request.Rank),
		w.lapse.Compare(other.lapse),
		cmp.Compare(w.sequence, other.sequence),
	)
}
