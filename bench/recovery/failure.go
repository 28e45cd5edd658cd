package recovery

import (
	"context"
	"time"
)

// failure is a kind of failure with its measurement.
type failure struct {
	name     string
	baseline string
	// measureBaseline measures the step without the failure, measureFailure with it.
	measureBaseline func(context.Context) (time.Duration, error)
	measureFailure  func(context.Context) (time.Duration, error)
}

// failures returns the kinds of failures in the order of measurement. Partitions come
// first, because a member that was lost repeatedly must have sent heartbeats for longer before
// it counts as alive again.
func (m *measurement) failures() []failure {
	return []failure{
		{
			name: "data centre rejoined, to members alive", baseline: "one call through the same entry",
			measureBaseline: m.measureOneCall, measureFailure: m.measureDataCentreRejoined,
		},
		{
			name: "owner killed, to its next grant", baseline: "one call through the same entry",
			measureBaseline: m.measureOneCall, measureFailure: m.measureOwnerKilled,
		},
		{
			name: "entry killed, to its slots free", baseline: "calls cancelled by their callers, to their slots free",
			measureBaseline: m.measureCallsCancelled, measureFailure: m.measureEntryKilled,
		},
	}
}
