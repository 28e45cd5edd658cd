package quota

import "time"

// Limits configures how quotas are measured.
type Limits struct {
	// Window is the length of the sliding window over which usage is summed.
	Window time.Duration
	// Overage is the part of the quota that may be used beyond it in a window.
	Overage float64
	// Allowance is a fixed amount that may be used in addition, in any window.
	Allowance float64
}

// allowanceShare is the part of the allowance that is granted. The rest covers usage
// that the hosts have not reported to each other yet.
const allowanceShare = 0.5
