package admission

import "time"

// queued is a request that waits for a target.
type queued struct {
	request  Request
	team     *teamQueue
	sequence uint64
	// giveUp is when the request can no longer finish in time.
	giveUp time.Time
	// positions holds the request's place in each heap, or -1.
	positions [heapKinds]int
}

func newQueued(r Request, sequence uint64) *queued {
	q := &queued{request: r, sequence: sequence, giveUp: r.Deadline}
	for kind := range q.positions {
		q.positions[kind] = -1
	}
	return q
}

// before orders requests of one team: earliest deadline first, then by arrival.
func (q *queued) before(other *queued) bool {
	if !q.request.Deadline.Equal(other.request.Deadline) {
		return q.request.Deadline.Before(other.request.Deadline)
	}
	return q.sequence < other.sequence
}
