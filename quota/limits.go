package quota

import "time"

// Limits is how the platform measures quotas.
type Limits struct {
	// Window is the span in which use is summed up.
	Window time.Duration
	// Overage is the part of the quota that may be used beyond it in a window.
	Overage float64
	// Allowance is what may be used besides, in any window.
	Allowance float64
}

// allowanceShare is the part of the allowance that is given out; the rest is for
// what the hosts have not heard of each other yet.
const allowanceShare = 0.5
