package rollout

// Reason says what a verdict is based on.
type Reason int

const (
	// ReasonNone means that nothing speaks against the version.
	ReasonNone Reason = iota
	// ReasonFailures means that more requests fail than on the old targets.
	ReasonFailures
	// ReasonFirstEvents means that the times to the first event are longer.
	ReasonFirstEvents
	// ReasonIntervals means that the times between events are longer.
	ReasonIntervals
	// ReasonDeadline means that the rollout could not be judged or completed in its duration.
	ReasonDeadline
)

// String returns the reason's name in logs.
func (r Reason) String() string {
	switch r {
	case ReasonNone:
		return "none"
	case ReasonFailures:
		return "failures"
	case ReasonFirstEvents:
		return "first-events"
	case ReasonIntervals:
		return "intervals"
	case ReasonDeadline:
		return "deadline"
	default:
		return "unknown"
	}
}
