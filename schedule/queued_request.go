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
	// due says that the request was refused before and has returned when it was told to, or might
	// have been: capacity is reserved for it.
	due bool
	// reservedWait is the time after which a refused request is to return because capacity is
	// reserved for it then, or zero.
	reservedWait time.Duration
	// unreserved says that no capacity could be reserved for a refused request.
	unreserved bool
	// startTag orders the requests of one rank by the shares of their teams, in seconds of slot
	// time. It is zero unless the capacity of the pool is scarce.
	startTag float64
	// linkTrial says that the request is to find out whether this host gets responses again.
	linkTrial bool
	// lacksMemory says that a target with a free slot had no room for the request, and countedWait
	// that this was counted.
	lacksMemory bool
	countedWait bool
}

// compare orders requests for service: those that can still be on time first, then by
// rank, then by the shares of the teams while capacity is scarce, then by the time left until
// latestStart.
func (w *queuedRequest) compare(other *queuedRequest) int {
	if w.late != other.late {
		if w.late {
			return 1
		}
		return -1
	}
	return cmp.Or(
		w.request.Rank.Compare(other.request.Rank),
		cmp.Compare(w.startTag, other.startTag),
		w.latestStart.Compare(other.latestStart),
		cmp.Compare(w.sequence, other.sequence),
	)
}
