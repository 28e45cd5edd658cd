package admission

import (
	"time"

	"github.com/cornelyard/cornelyard/routing"
	"github.com/cornelyard/cornelyard/settings"
)

// targetState is what the scheduler knows of one target.
type targetState struct {
	*routing.Target
	settings settings.Target
	// declared is false when the target is no longer in the settings.
	declared bool
	// refusing says that the target itself refused new work.
	refusesWork bool
	running     runningList
	// freeing counts the preempted requests in service.
	preempting int
	// bound holds what an early-binding policy queued for this target.
	boundRequests *requestHeap
}

// updateLeaving brings routing's view of the target up to date.
func (t *targetState) updateLeaving() {
	t.Leaving = !t.declared || t.settings.Leaving || t.refusesWork
}

// overdueShare is the part of its age that an overdue request is expected to
// take further.
const overdueFraction = 0.1

// updateNextFree predicts when the first request in service ends.
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

// slotAfterPreemption says whether the end of one more request frees a slot.
func (t *targetState) preemptionFreesSlot(now time.Time) bool {
	return t.InService-t.preempting-1 < t.Slots(now)
}
