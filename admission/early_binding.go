package admission

import (
	"time"

	"github.com/cornelyard/cornelyard/routing"
)

// earlyBinding is a baseline: a request is bound to a target on arrival and
// waits for a slot there, first come first served.
type earlyBinding struct {
	scheduler *Scheduler
	router    *routing.Router
	// unbound holds the requests that no target was allowed for.
	unbound *requestHeap
}

func newEarlyBinding(s *Scheduler, score routing.Score) *earlyBinding {
	return &earlyBinding{
		scheduler: s,
		router:    s.newRouter(score),
		unbound:   newRequestHeap(heapArrival, (*queued).arrivedBefore),
	}
}

func (b *earlyBinding) enqueued(now time.Time, q *queued) { b.bind(now, q) }

func (b *earlyBinding) dequeued(q *queued) {
	if q.bound == nil {
		b.unbound.remove(q)
		return
	}
	q.bound.bound.remove(q)
}

func (b *earlyBinding) wake(time.Time) time.Time { return time.Time{} }

func (b *earlyBinding) decide(now time.Time, actions []Action) []Action {
	s := b.scheduler
	actions = s.refuseExpired(now, actions)
	b.rebind(now)
	for _, target := range s.targets {
		actions = b.serve(now, target, actions)
	}
	return s.refuseNewest(now, actions)
}

func (b *earlyBinding) serve(now time.Time, target *targetState, actions []Action) []Action {
	for q := target.bound.first(); q != nil && target.FreeSlots(now) > 0; q = target.bound.first() {
		actions = append(actions, b.scheduler.grant(now, q, target))
	}
	return actions
}

func (b *earlyBinding) bind(now time.Time, q *queued) {
	s := b.scheduler
	best := b.router.Best(now, &q.work, s.routes)
	if best == nil {
		q.bound = nil
		b.unbound.add(q)
		return
	}
	q.bound = s.byTarget[best.Name]
	q.bound.bound.add(q)
}

// rebind moves requests away from targets that are leaving or cannot be reached,
// and looks for a target for those that have none.
func (b *earlyBinding) rebind(now time.Time) {
	for _, target := range b.scheduler.targets {
		if target.Slots(now) == 0 {
			b.rebindAll(now, target.bound)
		}
	}
	b.rebindAll(now, b.unbound)
}

// rebindAll binds each request of a heap anew, once.
func (b *earlyBinding) rebindAll(now time.Time, from *requestHeap) {
	for range from.Len() {
		q := from.first()
		from.remove(q)
		b.bind(now, q)
		if from.first() == q {
			return
		}
	}
}
