package schedule

// Result tells how a dispatch ended, as far as it says something of its target.
type Result int

const (
	// Served: the target answered.
	Served Result = iota
	// Failed: the target answered with an error of its own.
	Failed
	// Rejected: the target refused the request and did not run it.
	Rejected
	// Broken: the connection broke, or the answer was not valid.
	Broken
	// Unreachable: no connection could be opened; nothing was sent.
	Unreachable
	// Misaddressed: another target has the address now.
	Misaddressed
	// Abandoned: the caller left, or its time ran out; nothing is said of the
	// target.
	Abandoned
)

// String returns the result's name for logs.
func (r Result) String() string {
	return [...]string{"served", "failed", "rejected", "broken", "unreachable", "misaddressed", "abandoned"}[r]
}
