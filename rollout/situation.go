package rollout

// Situation is what a host knows when it decides on the next step of a rollout.
type Situation struct {
	Order Order
	// Progress is the newest known progress; its zero value means that none is known.
	Progress Progress
	// NowMs is the current reading of the store's clock, in milliseconds.
	NowMs int64
	// Evidence is the total of the reports of all hosts.
	Evidence Report
	// OldRunning is the number of requests that are running on old targets, over all hosts
	// of which something was received in the last two seconds.
	OldRunning int
	// Candidates and OldTargets are the numbers of available targets of each side, and
	// CandidateSlots and OldSlots their slots.
	Candidates     int
	OldTargets     int
	CandidateSlots int
	OldSlots       int
}
