package admission

import (
	"time"

	"github.com/cornelyard/cornelyard/routing"
	"github.com/cornelyard/cornelyard/settings"
)

// discipline decides in which order and where queued requests run, and which are
// given up. The tier queues, the give-up heap and the requests in service are
// kept by the Scheduler; a discipline adds what it needs beyond that.
type discipline interface {
	enqueued(now time.Time, q *queued)
	dequeued(q *queued)
	decide(now time.Time, actions []Action) []Action
	// wake returns when decide must be called though nothing happens; zero means
	// that the give-up times suffice.
	wake(now time.Time) time.Time
}

// newDiscipline returns the discipline of a policy.
func newDiscipline(s *Scheduler, policy settings.Policy) discipline {
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
