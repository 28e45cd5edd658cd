package engine

// RunState is the state of a run.
type RunState string

// States of a run.
const (
	RunWaiting   RunState = "waiting"
	RunRunning   RunState = "running"
	RunFinished  RunState = "finished"
	RunCancelled RunState = "cancelled"
)
