package rollout

// Phase is the state of a rollout.
type Phase int

const (
	// InProgress means that both versions may get requests.
	InProgress Phase = iota + 1
	// Completed means that only the candidates get requests.
	Completed
	// RolledBack means that the candidates get no requests.
	RolledBack
)

// String returns the phase's name in logs.
func (p Phase) String() string {
	switch p {
	case InProgress:
		return "in-progress"
	case Completed:
		return "completed"
	case RolledBack:
		return "rolled-back"
	default:
		return "unknown"
	}
}
