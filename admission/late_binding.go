package admission

import (
	"time"

	"github.com/cornelyard/cornelyard/outcome"
	"github.com/cornelyard/cornelyard/routing"
)

// lateBinding is a baseline: one queue, first come first served; the target with
// the most free slots is chosen when a slot is free.
type lateBinding struct {
	scheduler *Scheduler
	router    *routing.Router
	arrivals  *requestHeap
}

func newLateBinding(s *Scheduler) *lateBinding {
	return &lateBinding{
		scheduler: s,
		router:    s.newRouter(routing.SlotUtilization{}),
		arrivals:  newRequestHeap(heapArrival, (*queued).arrivedBefore),
	}
}

func (b *lateBinding) enqueued(_ time.Time, q *queued) { b.arrivals.add(q) }

func (b *lateBinding) dequeued(q *queued) { b.arrivals.remove(q) }

func (b *lateBinding) wake(time.Time) time.Time { return time.Time{} }

func (b *lateBinding) decide(now time.Time, actions []Action) []Action {
	s := b.scheduler
	actions = s.refuseExpired(now, actions)
	for q := b.arrivals.first(); q != nil; q = b.arrivals.first() {
		choice := b.router.Rank(now, &q.work, s.routes)
		if choice.Free == nil {
			break
		}
		actions = append(actions, s.grant(now, q, s.byTarget[choice.Free.Name]))
	}
	return s.refuseNewest(now, actions)
}

// newRouter returns a router with the filters that every policy has.
func (s *Scheduler) newRouter(score routing.Score) *routing.Router {
	return routing.NewRouter(routing.RouterOptions{
		Prefixes: s.prefixes,
		Filters:  []routing.Filter{routing.NotLeaving{}, routing.NotAvoided{}, routing.IsolateSuspects{}},
		Score:    score,
	})
}

// refuseExpired refuses the queued requests whose deadline has passed.
func (s *Scheduler) refuseExpired(now time.Time, actions []Action) []Action {
	for q := s.giveUp.first(); q != nil && !now.Before(q.giveUp); q = s.giveUp.first() {
		actions = append(actions, s.refusal(q, outcome.Shed,
			"no slot was free before the deadline", s.retryAfter(now, q.rank())))
	}
	return actions
}

// refuseNewest refuses the newest requests beyond the queue's limit.
func (s *Scheduler) refuseNewest(now time.Time, actions []Action) []Action {
	excess := len(s.queue) - s.pool.MaxQueue
	if s.pool.MaxQueue <= 0 || excess <= 0 {
		return actions
	}
	all := s.queuedInSequence()
	for _, q := range all[len(all)-excess:] {
		actions = append(actions, s.refusal(q, outcome.Shed,
			"the queue is full", s.retryAfter(now, q.rank())))
	}
	return actions
}
