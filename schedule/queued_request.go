package schedule

import (
	"cmp"
	"time"
)

// queuedRequest is a request in the queue of this host.
type queuedRequest struct {
	request  *Request
	sequence uint64
	// latestStart is when the request must be dispatched to be on time; after that it
	// is late.
	latestStart time.Time
	// refuseAt is when the request is refused if it is still queued.
	refuseAt time.Time
	late     bool
	// linkTrial says that the request is to find out whether this host gets responses again.
	linkTrial bool
}

// compare orders requests for service: those that can still be on time first, then by
// rank, then by the time left until latestStart.
func (w *queuedRequest) compare(other *queuedRequest) int {
	if w.late != other.late {
		if w.late {
			return 1
		}
		return -1
	}
	return cmp.Or(
		w.request.Rank.Compare(other.request.Rank),
		w.latestStart.Compare(other.latestStart),
		cmp.Compare(w.sequence, other.sequence),
	)
}
