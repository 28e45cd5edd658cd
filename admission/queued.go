package admission

import (
	"time"

	"github.com/cornelyard/cornelyard/routing"
)

// queued is a request that waits for a target.
type queued struct {
	request  Request
	team     *teamQueue
	sequence uint64
	deadline time.Time

	work   routing.Work
	length routing.LengthEstimate
	// cost is the expected time in service, in seconds of one slot.
	cost float64
	// rawCost is cost before the calibration.
	rawCost float64
	// bucket is the request's place in its tier's backlog.
	bucket int
	// tight says that an idle pool would hardly meet the deadline either.
	tight bool
	// giveUp is when the request can no longer finish in time.
	giveUp time.Time
	// riskAt is when to look whether a lower tier must make room.
	riskAt time.Time
	// victim was preempted for this request and has not ended yet.
	victim *running
	// bound is the target that an early-binding policy chose.
	bound *targetState

	positions [heapKinds]int
}

// noDeadline stands for the deadline of a request that has none.
const noDeadline = 24 * time.Hour

func newQueued(now time.Time, r Request, sequence uint64) *queued {
	q := &queued{request: r, sequence: sequence, deadline: r.Deadline, riskAt: now}
	if q.deadline.IsZero() {
		q.deadline = now.Add(noDeadline)
	}
	q.giveUp = q.deadline
	q.work = routing.Work{PromptTokens: r.PromptTokens, Prefix: r.Prefix, Avoid: r.ExcludedTargets}
	for kind := range q.positions {
		q.positions[kind] = -1
	}
	return q
}

// rank returns the rank of the request's tier.
func (q *queued) rank() int { return q.team.tier.rank }

// before orders requests of one team: earliest deadline first, then by arrival.
func (q *queued) before(other *queued) bool {
	if !q.deadline.Equal(other.deadline) {
		return q.deadline.Before(other.deadline)
	}
	return q.sequence < other.sequence
}

// arrivedBefore orders requests of all teams and tiers by arrival.
func (q *queued) arrivedBefore(other *queued) bool {
	if !q.request.Arrived.Equal(other.request.Arrived) {
		return q.request.Arrived.Before(other.request.Arrived)
	}
	return q.sequence < other.sequence
}

// startMargin is the part of a predicted time that is kept in reserve before
// the deadline.
const startMargin = 0.08

// meets says whether a request that takes so long from now finishes in time.
func (q *queued) meets(now time.Time, took time.Duration) bool {
	if !q.tight {
		took += time.Duration(startMargin * float64(took))
	}
	return !now.Add(took).After(q.deadline)
}
