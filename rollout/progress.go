package rollout

// Progress is how far a rollout has come. It is stored, and sent between hosts.
type Progress struct {
	Order   OrderID
	Version string
	Phase   Phase
	// Step is the number of the step in force, and ShareMilli the share of the pool's
	// requests that the candidates may get at it, in thousandths.
	Step       int
	ShareMilli int
	// StartedMs is a reading of the store's clock, in milliseconds, at the start.
	StartedMs int64
}
