package schedule

// Result is how a dispatch ended, as far as that concerns the health of the target.
type Result int

const (
	// Served: the target responded.
	Served Result = iota
	// Failed: the target responded with an error.
	Failed
	// Rejected: the target refused the request and did not run it.
	Rejected
	// Broken: the connection was lost, or the response was not valid.
	Broken
	// Unreachable: no connection could be opened, so nothing was sent.
	Unreachable
	// Misaddressed: the address now belongs to another target.
	Misaddressed
	// Abandoned: the caller disconnected, or its deadline passed; this says nothing
	// about the target.
	Abandoned
)

// String returns the name of the result as it appears in logs.
func (r Result) String() string {
	return [...]string{"served", "failed", "rejected", "broken", "unreachable", "misaddressed", "abandoned"}[r]
}
