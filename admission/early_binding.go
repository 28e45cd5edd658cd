package admission

import (
	"time"

	"github.com/cornelyard/cornelyard/routing"
)

// earlyBinding is a baseline policy: a request is bound to a target on arrival
// and waits there for a slot, first come, first served.
type earlyBinding struct {
	scheduler *Scheduler
	router    *routing.Router
	// unbound holds the requests for which no target was allowed.
	unbound *requestHeap
}

func newEarlyBinding(s *Scheduler, score routing.Score) *earlyBinding {
	return &earlyBinding{
		scheduler: s,
		router:    s.newRouter(score),
		unbound:   newRequestHeap(heapArrival, (*queuedRequest).arrivedBefore),
	}
}

func (b *earlyBinding) onEnqueue(now time.Time, q *queuedRequest) { b.bind(now, q) }

func (b *earlyBinding) onDequeue(q *queuedRequest) {
	if q.boundTarget == nil {
		b.unbound.remove(q)
		return
	}
	q.boundTarget.boundRequests.remove(q)
}

func (b *earlyBinding) nextWake(time.Time) time.Time { return time.Time{} }

func (b *earlyBinding) decide(now time.Time, actions []Action) []Action {
	s := b.scheduler
	actions = s.refuseExpired(now, actions)
	b.rebind(now)
	for _, target := range s.targets {
		actions = b.grantFreeSlots(now, target, actions)
	}
	return s.refuseOverLimit(now, actions)
}

func (b *earlyBinding) grantFreeSlots(now time.Time, target *targetState, actions []Action) []Action {
	for q := target.boundRequests.peek(); q != nil && target.FreeSlots(now) > 0; q = target.boundRequests.peek() {
		actions = append(actions, b.scheduler.grant(now, q, target))
	}
	return actions
}

func (b *earlyBinding) bind(now time.Time, q *queuedRequest) {
	s := b.scheduler
	best := b.router.Best(now, &q.work, s.routingTargets)
	if best == nil {
		q.boundTarget = nil
		b.unbound.add(q)
		return
	}
	q.boundTarget = s.targetByName[best.Name]
	q.boundTarget.boundRequests.add(q)
}

// rebind moves requests away from targets that are draining or unreachable, and
// retries the unbound ones.
func (b *earlyBinding) rebind(now time.Time) {
	for _, target := range b.scheduler.targets {
		if target.Slots(now) == 0 {
			b.rebindAll(now, target.boundRequests)
		}
	}
	b.rebindAll(now, b.unbound)
}

// rebindAll binds each request of a heap again, once.
func (b *earlyBinding) rebindAll(now time.Time, from *requestHeap) {
	for range from.Len() {
		q := from.peek()
		from.remove(q)
		b.bind(now, q)
		if from.peek() == q {
			return
		}
	}
}
