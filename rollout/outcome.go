package rollout

// Outcome is what the evidence says about a version.
type Outcome int

const (
	// Undecided means that the evidence does not suffice.
	Undecided Outcome = iota
	// Good means that the candidates have done as well as the old targets.
	Good
	// Bad means that the candidates do worse than the old targets.
	Bad
)

// String returns the outcome's name in logs.
func (o Outcome) String() string {
	switch o {
	case Undecided:
		return "undecided"
	case Good:
		return "good"
	case Bad:
		return "bad"
	default:
		return "unknown"
	}
}
