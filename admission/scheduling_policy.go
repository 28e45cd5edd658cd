package admission

import (
	"time"

	"github.com/cornelyard/cornelyard/routing"
	"github.com/cornelyard/cornelyard/settings"
)

// schedulingPolicy decides in which order and where queued requests run, and
// which are refused. The Scheduler maintains the tier queues, the latest-start
// heap and the running requests; a policy adds the state it needs beyond these.
type schedulingPolicy interface {
	onEnqueue(now time.Time, q *queuedRequest)
	onDequeue(q *queuedRequest)
	decide(now time.Time, actions []Action) []Action
	// nextWake returns when decide must be called if no event arrives before.
	// The zero time means that the latest starts suffice.
	nextWake(now time.Time) time.Time
}

func newSchedulingPolicy(s *Scheduler, policy settings.Policy) schedulingPolicy {
	switch policy {
	case settings.PolicyRoundRobin:
		return newEarlyBinding(s, routing.RoundRobin{})
	case settings.PolicyLeastReportedLoad:
		return newEarlyBinding(s, routing.ReportedLoad{})
	case settings.PolicyLateBinding:
		return newLateBinding(s)
	default:
		return newPredictive(s)
	}
}
