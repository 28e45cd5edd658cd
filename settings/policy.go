package settings

// Policy names a scheduling policy.
type Policy string

const (
	// PolicyPredictive combines late binding, learned service rates, prefix affinity,
	// strict tier priority, load shedding and preemption. It is the default.
	PolicyPredictive Policy = "predictive"
	// PolicyRoundRobin is a baseline: round-robin over the targets, queue in FIFO
	// order.
	PolicyRoundRobin Policy = "round-robin"
	// PolicyLeastReportedLoad is a baseline: the target with the lowest reported load,
	// queue in FIFO order.
	PolicyLeastReportedLoad Policy = "least-reported-load"
	// PolicyLateBinding is a baseline: a single FIFO queue whose requests are assigned
	// to a target when a slot becomes free.
	PolicyLateBinding Policy = "late-binding"
)
