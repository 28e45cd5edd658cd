package outcome

// Outcome says whether a request was executed.
type Outcome string

const (
	// NotRun guarantees that no target received any byte of the request.
	NotRun Outcome = "not-run"
	// Completed means that the whole response was delivered.
	Completed Outcome = "completed"
	// Interrupted means that the request started and was stopped before its end.
	Interrupted Outcome = "interrupted"
	// Unknown means that the request may have run, which cannot be determined.
	Unknown Outcome = "unknown"
)
