package schedule

import (
	"cmp"
	"time"
)

// queuedRequest is a queued request.
type queuedRequest struct {
	request  *Request
	sequence uint64
	// latestDispatch is when it must be sent to a target to be on time; after that it is
	// late.
	latestDispatch time.Time
	// refuseAt is when it is refused if it still waits.
	refuseAt time.Time
	late     bool
}

// compare orders requests for service: those that can be on time first, then by
// rank, then by the time that is left.
func (w *queuedRequest) compare(other *queuedRequest) int {
	if w.late != other.late {
		if w.late {
			return 1
		}
		return -1
	}
	return cmp.Or(
		w.request.Rank.Compare(other.request.Rank),
		w.latestDispatch.Compare(other.latestDispatch),
		cmp.Compare(w.sequence, other.sequence),
	)
}
