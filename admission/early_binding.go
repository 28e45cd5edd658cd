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
}

func newEarlyBinding(s *Scheduler, score routing.Score) *earlyBinding {
	return &earlyBinding{scheduler: s, router: s.newRouter(score)}
}

func (b *earlyBinding) enqueued(now time.Time, q *queued) { b.bind(now, q) }

func (b *earlyBinding) dequeued(q *queued) {
	if q.bound != nil {
		q.bound.bound.remove(q)
	}
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
		return
	}
	q.bound = s.byTarget[best.Name]
	q.bound.bound.add(q)
}

// rebind moves requests away from targets that are leaving or cannot be reached.
func (b *earlyBinding) rebind(now time.Time) {
	for _, target := range b.scheduler.targets {
		if target.Slots(now) > 0 {
			continue
		}
		for q := target.bound.first(); q != nil; q = target.bound.first() {
			target.bound.remove(q)
			q.bound = nil
			b.bind(now, q)
			if q.bound == target || q.bound == nil {
				return
			}
		}
	}
}
