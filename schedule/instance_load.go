package schedule

// InstanceLoad is what a target says of its load and of its machine with a response.
type InstanceLoad struct {
	// Known says that the target stated its load; Requests is then the number of requests at
	// the target, running and waiting.
	Known    bool
	Requests int
	// Percent is the time that work takes on the machine; 100 is usual. It is zero if the
	// target stated no valid figure.
	Percent int
}
