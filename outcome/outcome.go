package outcome

// Outcome states whether the request was executed.
type Outcome string

const (
	// NotRun promises that no target received any byte of the request.
	NotRun Outcome = "not-run"
	// Completed says that the whole answer was delivered.
	Completed Outcome = "completed"
	// Interrupted says that the request started and was stopped before its end.
	Interrupted Outcome = "interrupted"
	// Unknown says that the request may have run, and that nobody can tell.
	Unknown Outcome = "unknown"
)
