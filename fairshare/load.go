package fairshare

// Load is what a team uses and wants of a pool, in seconds of predicted time on a slot.
type Load struct {
	// Used is the exponentially decayed sum of what was granted.
	Used float64
	// Queued is the total of the requests that wait.
	Queued float64
}
