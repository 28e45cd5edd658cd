package admission

import (
	"time"

	"github.com/cornelyard/cornelyard/routing"
	"github.com/cornelyard/cornelyard/settings"
)

// targetState is the scheduler's state of one target.
type targetState struct {
	*routing.Target
	settings settings.Target
	// declared says that the target is in the current configuration.
	declared bool
	// refusesWork says that the target itself refused new work.
	refusesWork bool
	running     runningList
	// preempting counts the preempted requests that are still running.
	preempting int
	// boundRequests holds the requests that an early-binding policy queued for
	// this target.
	boundRequests *requestHeap
}

// updateDraining derives Draining from the configuration and the target's own
// refusals.
func (t *targetState) updateDraining() {
	t.Draining = !t.declared || t.settings.Leaving || t.refusesWork
}

// overdueFraction is the remaining time of a request beyond its expected end,
// as a fraction of the time since its grant.
const overdueFraction = 0.1

// updateNextFree predicts when the next running request ends.
func (t *targetState) updateNextFree(now time.Time) {
	t.NextFree = time.Time{}
	for _, r := range t.running.items {
		end := r.expectedEnd
		if end.Before(now) {
			end = now.Add(time.Duration(overdueFraction * float64(now.Sub(r.granted))))
		}
		if t.NextFree.IsZero() || end.Before(t.NextFree) {
			t.NextFree = end
		}
	}
}

// preemptionFreesSlot reports whether one more preemption yields a free slot,
// as the target may run more requests than it has slots now.
func (t *targetState) preemptionFreesSlot(now time.Time) bool {
	return t.RunningRequests-t.preempting-1 < t.Slots(now)
}
