package admission

import (
	"time"

	"github.com/cornelyard/cornelyard/routing"
	"github.com/cornelyard/cornelyard/settings"
)

// discipline decides in which order and where queued requests run, and which are
// given up. The tier queues, the give-up heap and the requests in service are
// kept by the Scheduler; a discipline adds what it needs beyond that.
type schedulingPolicy interface {
	onEnqueue(now time.Time, q *queuedRequest)
	onDequeue(q *queuedRequest)
	decide(now time.Time, actions []Action) []Action
	// wake returns when decide must be called though nothing happens; zero means
	// that the give-up times suffice.
	nextWake(now time.Time) time.Time
}

// newDiscipline returns the discipline of a policy.
func newSchedulingPolicy(s *Scheduler, policy settings.Policy) schedulingPolicy {
	switch policy {
	case settings.PolicyRoundRobin:
		return newEarlyBinding(s, routing.LeastRecent{})
	case settings.PolicyLeastReportedLoad:
		return newEarlyBinding(s, routing.ReportedLoad{})
	case settings.PolicyLateBinding:
		return newLateBinding(s)
	default:
		return newPredictive(s)
	}
}
