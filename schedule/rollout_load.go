package schedule

// RolloutLoad describes the targets of a pool whose rollout is in progress.
type RolloutLoad struct {
	// Candidates and OldTargets are the numbers of available targets of each side, and
	// CandidateSlots and OldSlots their slots.
	Candidates     int
	OldTargets     int
	CandidateSlots int
	OldSlots       int
	// OldRunning is the number of requests that all hosts run on old targets.
	OldRunning int
}
