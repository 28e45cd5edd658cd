package admission

import (
	"time"

	"github.com/cornelyard/cornelyard/outcome"
	"github.com/cornelyard/cornelyard/routing"
)

// lateBinding is a baseline policy with one queue, first come, first served.
// When a slot is free, it chooses the target with the largest share of free
// slots.
type lateBinding struct {
	scheduler *Scheduler
	router    *routing.Router
	arrivals  *requestHeap
}

func newLateBinding(s *Scheduler) *lateBinding {
	return &lateBinding{
		scheduler: s,
		router:    s.newRouter(routing.SlotUtilization{}),
		arrivals:  newRequestHeap(heapArrival, (*queuedRequest).arrivedBefore),
	}
}

func (b *lateBinding) onEnqueue(_ time.Time, q *queuedRequest) { b.arrivals.add(q) }

func (b *lateBinding) onDequeue(q *queuedRequest) { b.arrivals.remove(q) }

func (b *lateBinding) nextWake(time.Time) time.Time { return time.Time{} }

func (b *lateBinding) decide(now time.Time, actions []Action) []Action {
	s := b.scheduler
	actions = s.refuseExpired(now, actions)
	for q := b.arrivals.peek(); q != nil; q = b.arrivals.peek() {
		choice := b.router.Rank(now, &q.work, s.routingTargets)
		if choice.Free == nil {
			break
		}
		actions = append(actions, s.grant(now, q, s.targetByName[choice.Free.Name]))
	}
	return s.refuseOverLimit(now, actions)
}

// newRouter returns a router with the filters common to all policies.
func (s *Scheduler) newRouter(score routing.Score) *routing.Router {
	return routing.NewRouter(routing.RouterOptions{
		Prefixes: s.prefixes,
		Filters:  []routing.Filter{routing.NotDraining{}, routing.NotExcluded{}, routing.IsolateSuspects{}},
		Score:    score,
	})
}

// refuseExpired refuses the queued requests whose deadline has passed.
func (s *Scheduler) refuseExpired(now time.Time, actions []Action) []Action {
	for q := s.latestStarts.peek(); q != nil && !now.Before(q.latestStart); q = s.latestStarts.peek() {
		actions = append(actions, s.dequeueRefused(q, outcome.Shed,
			"no slot was free before the deadline", s.retryAfter(now, q.rank())))
	}
	return actions
}

// refuseOverLimit refuses the newest requests beyond the queue limit.
func (s *Scheduler) refuseOverLimit(now time.Time, actions []Action) []Action {
	excess := len(s.queue) - s.pool.MaxQueue
	if s.pool.MaxQueue <= 0 || excess <= 0 {
		return actions
	}
	all := s.queuedByArrival()
	for _, q := range all[len(all)-excess:] {
		actions = append(actions, s.dequeueRefused(q, outcome.Shed,
			"the queue is full", s.retryAfter(now, q.rank())))
	}
	return actions
}
