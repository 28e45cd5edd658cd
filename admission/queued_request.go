package admission

import (
	"time"

	"github.com/cornelyard/cornelyard/routing"
)

// queuedRequest is a request that waits for a slot.
type queuedRequest struct {
	request  Request
	team     *teamQueue
	sequence uint64
	deadline time.Time

	work   routing.Work
	length routing.LengthEstimate
	// cost is the expected running time in seconds of one slot.
	cost float64
	// uncalibratedCost is cost without the calibration factor.
	uncalibratedCost float64
	// backlogBucket is the request's bucket in its tier's backlog.
	backlogBucket int
	// optimistic says that the request is planned with the low end of its
	// length estimate and no deadline margin, as the pool would miss the
	// deadline otherwise.
	optimistic bool
	// latestStart is the last time at which the request can start and still
	// meet its deadline.
	latestStart time.Time
	// riskCheckAt is when to check next whether to preempt a request of a lower
	// tier for this one.
	riskCheckAt time.Time
	// victim is the request being preempted for this one, until it ends.
	victim *runningRequest
	// boundTarget is the target chosen by an early-binding policy.
	boundTarget *targetState

	positions [heapKinds]int
}

// assumedDeadline is the time to the deadline that is assumed for a request
// without one.
const assumedDeadline = 24 * time.Hour

func newQueuedRequest(now time.Time, r Request, sequence uint64) *queuedRequest {
	q := &queuedRequest{request: r, sequence: sequence, deadline: r.Deadline, riskCheckAt: now}
	if q.deadline.IsZero() {
		q.deadline = now.Add(assumedDeadline)
	}
	q.latestStart = q.deadline
	q.work = routing.Work{PromptTokens: r.PromptTokens, Prefix: r.Prefix, ExcludedTargets: r.ExcludedTargets}
	for kind := range q.positions {
		q.positions[kind] = -1
	}
	return q
}

func (q *queuedRequest) rank() int { return q.team.tier.rank }

// dueBefore orders requests of one team by deadline, then by arrival at the
// scheduler.
func (q *queuedRequest) dueBefore(other *queuedRequest) bool {
	if !q.deadline.Equal(other.deadline) {
		return q.deadline.Before(other.deadline)
	}
	return q.sequence < other.sequence
}

// arrivedBefore orders requests of all teams and tiers by arrival time.
func (q *queuedRequest) arrivedBefore(other *queuedRequest) bool {
	if !q.request.Arrived.Equal(other.request.Arrived) {
		return q.request.Arrived.Before(other.request.Arrived)
	}
	return q.sequence < other.sequence
}

// deadlineMargin is added to a predicted time, as a fraction of it, before it
// is compared with the deadline.
const deadlineMargin = 0.08

// meetsDeadline reports whether a run of this length that starts now finishes
// in time.
func (q *queuedRequest) meetsDeadline(now time.Time, run time.Duration) bool {
	if !q.optimistic {
		run += time.Duration(deadlineMargin * float64(run))
	}
	return !now.Add(run).After(q.deadline)
}
