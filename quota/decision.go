package quota

import "time"

// Decision is whether a request fits in its team's quota, and what that rested on.
type Decision struct {
	Allowed bool
	// RetryAfter is how long it takes until the request fits.
	RetryAfter time.Duration
	// Used is what all hosts let through in the window, as far as this host knows,
	// and Limit what may be.
	Used  float64
	Limit float64
}
