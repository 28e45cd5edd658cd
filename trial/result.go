package trial

// Result is what a trial showed.
type Result int

const (
	// Inconclusive: the run ended for another reason than a crash, or targets that did not
	// run the content crashed at the same time.
	Inconclusive Result = iota
	// Survived: a target served the content.
	Survived
	// Crashed: the target crashed.
	Crashed
	// Withdrawn: the request reached no target, so the trial does not count.
	Withdrawn
)

// String returns the name of the result as it appears in logs.
func (r Result) String() string {
	return [...]string{"inconclusive", "survived", "crashed", "withdrawn"}[r]
}
